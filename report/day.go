package report

import (
	"fmt"
	"time"
)

// Day is a calendar day, "2006-01-02".
type Day string

// DayError reports text that is not a day.
type DayError struct {
	Text string
}

// Error implements error.
func (e *DayError) Error() string { return fmt.Sprintf("day %q: expected the form 2006-01-02", e.Text) }

// ParseDay returns the day, or a *DayError.
func ParseDay(text string) (Day, error) {
	if _, err := time.Parse(time.DateOnly, text); err != nil {
		return "", &DayError{Text: text}
	}
	return Day(text), nil
}

// DayOf returns the day of t in the zone.
func DayOf(t time.Time, zone *time.Location) Day { return Day(t.In(zone).Format(time.DateOnly)) }

// Span returns the first moment of the day and that of the next day. A day may
// have 23 or 25 hours.
func (d Day) Span(zone *time.Location) (start, end time.Time) {
	t, err := time.ParseInLocation(time.DateOnly, string(d), zone)
	if err != nil {
		return time.Time{}, time.Time{}
	}
	return t, t.AddDate(0, 0, 1)
}

// Next returns the following day.
func (d Day) Next() Day {
	t, err := time.Parse(time.DateOnly, string(d))
	if err != nil {
		return d
	}
	return Day(t.AddDate(0, 0, 1).Format(time.DateOnly))
}
