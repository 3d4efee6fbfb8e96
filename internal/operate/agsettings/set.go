// Package agsettings declares, parses and validates the settings of a process.
//
// Each setting has a flag and an environment variable, such as --data-centre and
// ANVILGLADE_DATA_CENTRE. The flag takes precedence over the variable, and the
// variable over the default. Check parses all settings and returns all invalid
// ones in one error, each with its name, its value and the allowed values.
//
// # Usage
//
//	set := agsettings.NewSet(subcommand)
//	set.Name(&options.Host, "host", "name of the host", "")
//	set.Addr(&options.Admin, "admin-address", "admin listener", "127.0.0.1:7900")
//	// after flaggy has parsed the command line
//	if err := set.Check(); err != nil {
//		return err
//	}
package agsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/anvilglade/anvilglade"
)

const envPrefix = "ANVILGLADE_"

// Required is the default of a mandatory setting.
const Required = "\x00required"

// Set contains the settings of one subcommand.
type Set struct {
	subcommand *flaggy.Subcommand
	settings   []*setting
}

type setting struct {
	name     string
	raw      string
	fallback string
	allowed  string
	hidden   bool
	parse    func(string) error
}

// NewSet returns an empty Set that adds its flags to a subcommand.
func NewSet(subcommand *flaggy.Subcommand) *Set {
	return &Set{subcommand: subcommand}
}

// Add declares a setting. Fallback is its default, Required or empty for none.
// Allowed describes the allowed values in error messages. Parse stores the value
// or returns an error; Check calls it unless the value is empty.
func (s *Set) Add(name, usage, fallback, allowed string, parse func(string) error) {
	entry := &setting{name: name, fallback: fallback, allowed: allowed, parse: parse}
	s.settings = append(s.settings, entry)
	help := fmt.Sprintf("%s (%s)", usage, EnvName(name))
	if fallback != Required && fallback != "" {
		help = fmt.Sprintf("%s, default %s", help, fallback)
	}
	s.subcommand.String(&entry.raw, "", name, help)
}

// Secret declares a mandatory setting whose value never appears in errors. The
// errors of parse must not contain the value either.
func (s *Set) Secret(name, usage, allowed string, parse func(string) error) {
	s.Add(name, usage, Required, allowed, parse)
	s.settings[len(s.settings)-1].hidden = true
}

// Bool declares a setting that is true or false.
func (s *Set) Bool(target *bool, name, usage string, fallback bool) {
	s.Add(name, usage, strconv.FormatBool(fallback), "true or false", func(text string) error {
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			return errors.New("not a boolean")
		}
		*target = parsed
		return nil
	})
}

// Text declares a setting that accepts any text.
func (s *Set) Text(target *string, name, usage, fallback string) {
	s.Add(name, usage, fallback, "any text", func(text string) error {
		*target = text
		return nil
	})
}

// Name declares a setting that contains a name, see anvilglade.CheckName.
func (s *Set) Name(store func(string), name, usage, fallback string) {
	s.Add(name, usage, fallback, "a name of a-z, 0-9, '-', '.', '_'", func(text string) error {
		if err := anvilglade.CheckName(text); err != nil {
			return err
		}
		store(text)
		return nil
	})
}

// Addr declares a setting that contains an IP address and a port.
func (s *Set) Addr(target *netip.AddrPort, name, usage, fallback string) {
	s.Add(name, usage, fallback, "IP:PORT", func(text string) error {
		parsed, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		*target = parsed
		return nil
	})
}

// AddrList declares a setting that contains a comma-separated list of IP addresses
// with ports. Empty list entries are ignored.
func (s *Set) AddrList(target *[]netip.AddrPort, name, usage, fallback string) {
	s.Add(name, usage, fallback, "IP:PORT,IP:PORT,...", func(text string) error {
		for part := range strings.SplitSeq(text, ",") {
			if part == "" {
				continue
			}
			parsed, err := netip.ParseAddrPort(part)
			if err != nil {
				return err
			}
			*target = append(*target, parsed)
		}
		return nil
	})
}

// Duration declares a setting that contains a duration from low to high.
func (s *Set) Duration(target *time.Duration, name, usage, fallback string, low, high time.Duration) {
	s.Add(name, usage, fallback, fmt.Sprintf("%s to %s", low, high), func(text string) error {
		parsed, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		if parsed < low || parsed > high {
			return errors.New("out of range")
		}
		*target = parsed
		return nil
	})
}

// Int declares a setting that contains an integer from low to high.
func (s *Set) Int(target *int, name, usage, fallback string, low, high int) {
	s.Add(name, usage, fallback, fmt.Sprintf("%d to %d", low, high), func(text string) error {
		parsed, err := strconv.Atoi(text)
		if err != nil {
			return errors.New("not an integer")
		}
		if parsed < low || parsed > high {
			return errors.New("out of range")
		}
		*target = parsed
		return nil
	})
}

// Check parses all settings. The error lists every missing or invalid setting, one
// per line.
func (s *Set) Check() error {
	var faults []error
	for _, entry := range s.settings {
		if err := entry.check(); err != nil {
			faults = append(faults, err)
		}
	}
	return errors.Join(faults...)
}

func (e *setting) check() error {
	value := e.raw
	if value == "" {
		value = os.Getenv(EnvName(e.name))
	}
	if value == "" {
		value = e.fallback
	}
	if value == Required {
		return fmt.Errorf("setting --%s (%s) is missing, allowed: %s", e.name, EnvName(e.name), e.allowed)
	}
	if value == "" {
		return nil
	}
	if err := e.parse(value); err != nil {
		if e.hidden {
			value = "(hidden)"
		}
		return fmt.Errorf("setting --%s (%s) has the value %q, allowed: %s: %w", e.name, EnvName(e.name), value, e.allowed, err)
	}
	return nil
}

// EnvName returns the name of the environment variable of a setting.
func EnvName(name string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
