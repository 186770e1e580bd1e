package table

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Names of the sheets.
const (
	Organisations = "organisations"
	Models        = "models"
	Upstreams     = "upstreams"
	Services      = "services"
)

// column describes one column of a sheet. A required column must have a value in
// every row; check validates a value.
type column struct {
	name     string
	required bool
	check    func(value string) error
}

// sheetSchema lists the columns of one sheet in display order.
type sheetSchema []column

// Limits of the numbers and hashes in cells.
const (
	maxWeight     = 10_000
	maxRate       = 1_000_000
	maxInFlight   = 1_000_000
	maxPriority   = 9
	maxDeadlineMs = 24 * 60 * 60 * 1000
	keyHashBytes  = 32
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// schema maps the name of each sheet to its columns.
var schema = map[string]sheetSchema{
	Organisations: {
		{"key_sha256", true, checkKeyHash},
		{"weight", false, checkNumber(1, maxWeight)},
		{"rate_per_s", false, checkNumber(0, maxRate)},
		{"max_in_flight", false, checkNumber(0, maxInFlight)},
		{"priority", false, checkNumber(0, maxPriority)},
	},
	Models: {
		{"deadline_ms", false, checkNumber(1, maxDeadlineMs)},
		{"load_bound_percent", false, checkNumber(101, 1000)},
	},
	Upstreams: {
		{"kind", true, checkOneOf(KindEngine, KindService)},
		{"address", true, checkAddress},
		{"failure_domain", true, checkName},
		{"serves", true, checkNames},
		{"weight", false, checkNumber(0, maxWeight)},
		{"state", false, checkOneOf(StateActive, StateDraining)},
		{"slots", false, checkNumber(1, maxInFlight)},
		{"checks_tokens", false, checkOneOf("true", "false")},
	},
	Services: {
		{"repeatable", false, checkRules},
		{"deadline_ms", false, checkNumber(1, maxDeadlineMs)},
	},
}

// SheetNames returns the sorted names of all sheets.
func SheetNames() []string { return []string{Models, Organisations, Services, Upstreams} }

// Columns returns the column names of a sheet in display order. The result is
// empty if the sheet is unknown.
func Columns(sheetName string) []string {
	names := []string{}
	for _, c := range schema[sheetName] {
		names = append(names, c.name)
	}
	return names
}

func (s sheetSchema) index(name string) int {
	return slices.IndexFunc(s, func(c column) bool { return c.name == name })
}

// CheckCell returns an error wrapping ErrInvalid unless the sheet and column
// exist, the row name is valid and the cell allows the value. The empty value is
// always allowed and clears the cell.
func CheckCell(sheetName, row, columnName, value string) error {
	columns, known := schema[sheetName]
	if !known {
		return fmt.Errorf("%w: sheet %q: unknown, have %v", ErrInvalid, sheetName, SheetNames())
	}
	if !namePattern.MatchString(row) {
		return fmt.Errorf("%w: %s: row %q: only letters, digits and . _ : -", ErrInvalid, sheetName, row)
	}
	index := columns.index(columnName)
	if index < 0 {
		return fmt.Errorf("%w: %s: column %q: unknown, have %v", ErrInvalid, sheetName, columnName, Columns(sheetName))
	}
	if value == "" {
		return nil
	}
	if err := columns[index].check(value); err != nil {
		return fmt.Errorf("%w: %s/%s/%s: %w", ErrInvalid, sheetName, row, columnName, err)
	}
	return nil
}

func checkNumber(minimum, maximum int64) func(string) error {
	return func(value string) error {
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", value)
		}
		if number < minimum || number > maximum {
			return fmt.Errorf("%d is outside %d to %d", number, minimum, maximum)
		}
		return nil
	}
}

func checkOneOf(allowed ...string) func(string) error {
	return func(value string) error {
		if !slices.Contains(allowed, value) {
			return fmt.Errorf("%q is none of %v", value, allowed)
		}
		return nil
	}
}

func checkKeyHash(value string) error {
	decoded, err := hex.DecodeString(value)
	if err != nil || len(decoded) != keyHashBytes {
		return fmt.Errorf("must be the SHA-256 of the key in %d hex digits", 2*keyHashBytes)
	}
	return nil
}

func checkAddress(value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%q is not an IP number and port", value)
	}
	return nil
}

func checkName(value string) error {
	if !namePattern.MatchString(value) {
		return fmt.Errorf("%q is not a name", value)
	}
	return nil
}

func checkNames(value string) error {
	for _, name := range splitList(value) {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}

func checkRules(value string) error {
	_, err := parseRules(value)
	return err
}

func splitList(value string) []string {
	parts := strings.Split(value, ";")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
