package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration written as "250ms" in the document.
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText parses a Go duration that is not negative.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is not a number with a unit such as \"250ms\" or \"2s\"", text)
	}
	if value < 0 {
		return fmt.Errorf("duration %q is negative", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText writes the duration as Go does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// PositiveDuration is a Duration above 0; zero means a key that was left out,
// which gets its default.
type PositiveDuration time.Duration

// Std returns the value as a time.Duration.
func (d PositiveDuration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText parses a Go duration above 0.
func (d *PositiveDuration) UnmarshalText(text []byte) error {
	var value Duration
	if err := value.UnmarshalText(text); err != nil {
		return err
	}
	if value == 0 {
		return fmt.Errorf("duration %q is not above 0; leave the key out for its default", text)
	}
	*d = PositiveDuration(value)
	return nil
}

// MarshalText writes the duration as Go does.
func (d PositiveDuration) MarshalText() ([]byte, error) { return []byte(d.Std().String()), nil }

// Percent is a share from 0 to 1 that is written as "25%" in the document.
type Percent float64

// UnmarshalText parses a percentage from 0% to 100%.
func (p *Percent) UnmarshalText(text []byte) error {
	number, found := strings.CutSuffix(string(text), "%")
	value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if !found || err != nil {
		return fmt.Errorf("share %q is not a percentage such as \"25%%\"", text)
	}
	if !(value >= 0 && value <= 100) {
		return fmt.Errorf("share %q is outside 0%% to 100%%", text)
	}
	*p = Percent(value / 100)
	return nil
}

// MarshalText writes the share as a percentage.
func (p Percent) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(p)*100, 'g', -1, 64) + "%"), nil
}

// BitsRate is a data rate in bits per second that is written as "4Gbit/s" in the
// document.
type BitsRate float64

var rateUnits = []struct {
	suffix string
	value  float64 // bits per second
}{
	{"Gbit/s", 1e9},
	{"Mbit/s", 1e6},
	{"kbit/s", 1e3},
	{"bit/s", 1},
}

// UnmarshalText parses a rate with one of the units bit/s, kbit/s, Mbit/s, Gbit/s.
func (r *BitsRate) UnmarshalText(text []byte) error {
	for _, unit := range rateUnits {
		number, found := strings.CutSuffix(string(text), unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || !(value > 0) {
			return fmt.Errorf("rate %q is not a number above 0 with a unit", text)
		}
		*r = BitsRate(value * unit.value)
		return nil
	}
	return fmt.Errorf("rate %q has no unit; use bit/s, kbit/s, Mbit/s or Gbit/s", text)
}

// MarshalText writes the rate in the largest unit that does not exceed it.
func (r BitsRate) MarshalText() ([]byte, error) {
	for _, unit := range rateUnits {
		if float64(r) >= unit.value {
			return []byte(strconv.FormatFloat(float64(r)/unit.value, 'g', -1, 64) + unit.suffix), nil
		}
	}
	return []byte("0bit/s"), nil
}
