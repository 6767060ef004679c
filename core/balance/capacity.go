package balance

import (
	"time"

	"github.com/agateusher/agateusher/core/model"
)

// Capacity is what a service has left in this data centre.
type Capacity struct {
	// BudgetRate is the number of retries per second that the budget sustains, and
	// IdempotentBudgetRate that of idempotent requests alone.
	BudgetRate, IdempotentBudgetRate float64
	// BudgetLeft is the number of retries that may be made now, and
	// NonIdempotentBudgetLeft that of requests that are not idempotent.
	BudgetLeft, NonIdempotentBudgetLeft float64
	// Slots and FreeSlots are the numbers of all and of free slots of the data centre's
	// servers that are not suspects and may be sent requests; of the whole service if the data centre has no
	// server of it.
	Slots, FreeSlots int
}

// Capacity returns what a service has left in this data centre.
func (t *Table) Capacity(now time.Time, name model.ServiceName) Capacity {
	svc := t.service(name)
	allowed := t.budgetAllowed(now, svc)
	used := float64(svc.retries.count(now))
	c := Capacity{
		BudgetRate:              allowed / t.opts.Budget.Window.Seconds(),
		IdempotentBudgetRate:    svc.idempotentShare(now) * allowed / t.opts.Budget.Window.Seconds(),
		BudgetLeft:              max(0, svc.idempotentShare(now)*allowed-used),
		NonIdempotentBudgetLeft: max(0, allowed-used),
	}
	local, hasLocal := c, false
	for _, s := range svc.servers {
		slots, free := 0, 0
		if withheld, _ := t.signals.withheld(now, s.Key); withheld {
			continue
		}
		if t.opts.Model.FailingProbability(s.belief, now) < suspectThreshold {
			slots, free = s.Slots, max(0, s.Slots-s.totalOutstanding(now))
		}
		c.Slots, c.FreeSlots = c.Slots+slots, c.FreeSlots+free
		if s.DataCentre == t.opts.DataCentre {
			local.Slots, local.FreeSlots, hasLocal = local.Slots+slots, local.FreeSlots+free, true
		}
	}
	if hasLocal {
		return local
	}
	return c
}
