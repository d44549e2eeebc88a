package scenario

import "time"

// Span is a length of time, written as "250ms".
type Span time.Duration

// UnmarshalText reads a span as time.ParseDuration does.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// MarshalText writes the span as time.Duration's String does.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.D().String()), nil }

// D is the span as a time.Duration.
func (s Span) D() time.Duration { return time.Duration(s) }

// seconds is the span in seconds.
func (s Span) seconds() float64 { return s.D().Seconds() }
