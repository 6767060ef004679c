package detector

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	core "github.com/agateusher/agateusher/core/detector"
	"github.com/agateusher/agateusher/core/snapshot"
	"github.com/agateusher/agateusher/kernel"
)

// Guards against a profile field that is lost in the conversion between settings
// and core/detector, and against a setting that resets the fields it does not
// name.
func TestSequentialSettings(t *testing.T) {
	g := NewWithT(t)
	for _, p := range core.Profiles() {
		g.Expect(fromCore(p).toCore(snapshot.Policy(p.Name))).To(Equal(p))
	}
	m, err := kernel.Load(SequentialID, []byte(`{"ridemark": {"threshold": 9, "maxGap": "80ms"} /* the others keep their defaults */}`))
	g.Expect(err).NotTo(HaveOccurred())
	want := core.Ridemark()
	want.Threshold, want.MaxGap = 9, 80*time.Millisecond
	g.Expect(m.(*Sequential).profiles[snapshot.PolicyRidemark]).To(Equal(want))
	g.Expect(m.(*Sequential).profiles[snapshot.PolicyConsortium]).To(Equal(core.Consortium()))
	d, err := m.(Factory).NewDetector(snapshot.PolicyRidemark)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d).To(BeAssignableToTypeOf(&core.Sequential{}))
	_, err = m.(Factory).NewDetector("other")
	var unknown *PolicyError
	g.Expect(errors.As(err, &unknown)).To(BeTrue())
}

// Guards against settings that would disable or break a detector being accepted.
func TestInvalidSettings(t *testing.T) {
	g := NewWithT(t)
	_, err := kernel.Load(SequentialID, []byte(`{"consortium": {"threshold": -1}}`))
	var field *core.ProfileError
	g.Expect(errors.As(err, &field)).To(BeTrue())
	g.Expect(field.Field).To(Equal("threshold"))
	_, err = kernel.Load(ConsecutiveID, []byte(`{"failures": 0}`))
	g.Expect(errors.Is(err, ErrTooFewFailures)).To(BeTrue())
	_, err = kernel.Load(ConsecutiveID, []byte(`{"errors": 3}`))
	g.Expect(err).To(HaveOccurred())
	m, err := kernel.Load(ConsecutiveID, nil)
	g.Expect(err).NotTo(HaveOccurred())
	d, err := m.(Factory).NewDetector("")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d).To(BeAssignableToTypeOf(&core.Consecutive{}))
}
