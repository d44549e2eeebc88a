package scenario

import "time"

// Span is a duration that is written as text, such as "250ms".
type Span time.Duration

// UnmarshalText parses a span in the format of time.ParseDuration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// MarshalText formats the span like time.Duration.String.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.D().String()), nil }

// D returns the span as a time.Duration.
func (s Span) D() time.Duration { return time.Duration(s) }

// seconds returns the span in seconds.
func (s Span) seconds() float64 { return s.D().Seconds() }
