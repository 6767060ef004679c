package report

import (
	"fmt"
	"time"
)

// Day is a calendar day in the form "2006-01-02".
type Day string

// DayError reports text that is not a valid day.
type DayError struct {
	Text string
}

// Error implements error.
func (e *DayError) Error() string { return fmt.Sprintf("day %q: expected the form 2006-01-02", e.Text) }

// ParseDay parses a day. The error is a *DayError.
func ParseDay(text string) (Day, error) {
	if _, err := time.Parse(time.DateOnly, text); err != nil {
		return "", &DayError{Text: text}
	}
	return Day(text), nil
}

// DayOf returns the calendar day of t in a time zone.
func DayOf(t time.Time, zone *time.Location) Day { return Day(t.In(zone).Format(time.DateOnly)) }

// Span returns the start of the day and the start of the next day in a time zone. A
// day may have 23 or 25 hours. Both are zero if the day is not valid.
func (d Day) Span(zone *time.Location) (start, end time.Time) {
	t, err := time.ParseInLocation(time.DateOnly, string(d), zone)
	if err != nil {
		return time.Time{}, time.Time{}
	}
	return t, t.AddDate(0, 0, 1)
}

// Next returns the following day, or d itself if it is not valid.
func (d Day) Next() Day {
	t, err := time.Parse(time.DateOnly, string(d))
	if err != nil {
		return d
	}
	return Day(t.AddDate(0, 0, 1).Format(time.DateOnly))
}
