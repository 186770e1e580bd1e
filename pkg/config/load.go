package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// ErrInvalid is wrapped by all errors that are caused by a settings file.
var ErrInvalid = errors.New("invalid settings")

// FieldError is an invalid value in a settings file. Key is the dotted path of the value,
// with list indexes in brackets, such as "peers.contacts[1]".
type FieldError struct {
	Key    string
	Reason string
	// Unknown is set if the file has a key that this release doesn't know.
	Unknown bool
	// Partial is set if the file may be a part of the whole: it ends with the value, or lacks a guard of its settings.
	Partial bool
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Key, e.Reason) }

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// Checker is a settings type that validates its own values. Check returns FieldErrors
// joined by errors.Join.
type Checker interface {
	Check() error
}

// LoadRouter reads and validates a router's settings file. Errors name the file, the line
// and the key.
func LoadRouter(path string) (Router, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Router{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return ParseRouter(path, data)
}

// ParseRouter decodes and validates the content of a router's settings file. Errors
// include the name.
func ParseRouter(name string, data []byte) (Router, error) {
	var settings Router
	err := parse(name, data, &settings)
	return settings, err
}

// Adjuster is a settings type that can replace optional values that are invalid.
type Adjuster interface {
	Checker
	// Adjust sets optional numbers that are out of range to the nearest one in range, and returns a FieldError for each,
	// joined by errors.Join. It leaves those whose nearest value would loosen a limit that was asked for.
	Adjust() error
	// Guards returns the keys of limits that have no safe default.
	Guards() []string
}

// adapt decodes settings like parse, but sets numbers that are out of range to the nearest one in range, and ignores
// keys that another release may know. The first error tells what it has changed. Values of the wrong type are errors,
// and so is an unknown key while a guard is not set, which it may be meant to set.
func adapt(name string, data []byte, target Adjuster) (changed, err error) {
	invalid, err := decode(name, data, target)
	ignorable := invalid == nil || OnlyUnknownKeys(invalid) && setsAll(data, target.Guards())
	if err != nil || !ignorable {
		return nil, errors.Join(err, invalid)
	}
	changed = errors.Join(invalid, locateFieldErrors(name, data, target.Adjust()))
	return changed, locateFieldErrors(name, data, target.Check())
}

// OnlyUnknownKeys reports whether an error of a settings file is about unknown keys and nothing else.
func OnlyUnknownKeys(err error) bool {
	return err != nil && !slices.ContainsFunc(fieldErrors(err), func(e *FieldError) bool { return !e.Unknown })
}

// HasWholeValues reports whether an error of a settings file is about values that are whole in the file, and does not
// end when a file that is being written is complete.
func HasWholeValues(err error) bool {
	return err != nil && !slices.ContainsFunc(fieldErrors(err), func(e *FieldError) bool { return e.Partial })
}

// setsAll reports whether a file sets each of the keys.
func setsAll(data []byte, keys []string) bool {
	var document yaml.Node
	if yaml.Unmarshal(data, &document) != nil || len(document.Content) == 0 {
		return false
	}
	for _, key := range keys {
		node := document.Content[0]
		for part := range strings.SplitSeq(key, ".") {
			if node, _ = child(node, part); node == nil {
				return false
			}
		}
	}
	return true
}

func parse(name string, data []byte, target Checker) error {
	invalid, err := decode(name, data, target)
	if err != nil || invalid != nil {
		return errors.Join(err, invalid)
	}
	err = target.Check()
	if adjuster, ok := target.(Adjuster); err != nil && ok && !setsAll(data, adjuster.Guards()) {
		for _, field := range fieldErrors(err) {
			field.Partial = true
		}
	}
	return locateFieldErrors(name, data, err)
}

// decode decodes a file with one document. The first error tells which keys are unknown and which values have the wrong
// type; it decodes the others. The second error means that there are no settings.
func decode(name string, data []byte, target Checker) (invalid, err error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var typeErr *yaml.TypeError
	err = decoder.Decode(target)
	switch {
	case errors.Is(err, io.EOF):
		return nil, fmt.Errorf("%w: %s: the file is empty", ErrInvalid, name)
	case errors.As(err, &typeErr):
		invalid = locateDecodeErrors(name, data, err)
	case err != nil:
		return nil, locateDecodeErrors(name, data, err)
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: %s: more than one YAML document", ErrInvalid, name)
	}
	return invalid, nil
}

var (
	linePattern = regexp.MustCompile(`^line (\d+): (.*)$`)
	// unknownPattern matches what the decoder says of a key that the settings don't have.
	unknownPattern = regexp.MustCompile(`^field \S+ not found in type `)
)

// locateDecodeErrors adds the file, the line and the key to each error of the decoder.
func locateDecodeErrors(name string, data []byte, err error) error {
	var typeErr *yaml.TypeError
	var document yaml.Node
	if !errors.As(err, &typeErr) || yaml.Unmarshal(data, &document) != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, name, err)
	}
	located := []error{}
	for _, text := range typeErr.Errors {
		parts := linePattern.FindStringSubmatch(text)
		if parts == nil {
			located = append(located, fmt.Errorf("%w: %s: %s", ErrInvalid, name, text))
			continue
		}
		line, _ := strconv.Atoi(parts[1])
		field := &FieldError{
			Key: keyAt(&document, line, ""), Reason: parts[2], Unknown: unknownPattern.MatchString(parts[2]),
		}
		located = append(located, fmt.Errorf("%s:%d: %w", name, line, field))
	}
	return errors.Join(located...)
}

// keyAt returns the dotted path of the value on a line, or of the innermost value that
// encloses the line.
func keyAt(node *yaml.Node, line int, path string) string {
	found := path
	for i, next := range node.Content {
		key := path
		switch {
		case node.Kind == yaml.MappingNode && i%2 == 0:
			continue
		case node.Kind == yaml.MappingNode:
			key = strings.TrimPrefix(path+"."+node.Content[i-1].Value, ".")
		case node.Kind == yaml.SequenceNode:
			key = fmt.Sprintf("%s[%d]", path, i)
		}
		if first := firstLine(node, i); first <= line {
			found = keyAt(next, line, key)
		}
	}
	return found
}

// firstLine returns the line on which an entry begins: the line of its key, if it has one.
func firstLine(node *yaml.Node, i int) int {
	if node.Kind == yaml.MappingNode {
		return node.Content[i-1].Line
	}
	return node.Content[i].Line
}

// locateFieldErrors prefixes each FieldError with the file and the line of its key.
func locateFieldErrors(name string, data []byte, err error) error {
	if err == nil {
		return nil
	}
	var document yaml.Node
	if parseErr := yaml.Unmarshal(data, &document); parseErr != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, name, parseErr)
	}
	located := []error{}
	for _, field := range fieldErrors(err) {
		line := lineOf(&document, field.Key)
		field.Partial = field.Partial || line > bytes.Count(data, []byte("\n"))
		located = append(located, fmt.Errorf("%s:%d: %w", name, line, field))
	}
	return errors.Join(located...)
}

func fieldErrors(err error) []*FieldError {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		fields := []*FieldError{}
		for _, part := range joined.Unwrap() {
			fields = append(fields, fieldErrors(part)...)
		}
		return fields
	}
	var field *FieldError
	if errors.As(err, &field) {
		return []*FieldError{field}
	}
	return []*FieldError{{Key: "(file)", Reason: err.Error(), Partial: true}}
}

// lineOf returns the line of the longest prefix of the key that exists in the file.
func lineOf(document *yaml.Node, key string) int {
	node := document
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for part := range strings.SplitSeq(strings.ReplaceAll(key, "[", ".["), ".") {
		next, at := child(node, part)
		if next == nil {
			return line
		}
		node, line = next, at
	}
	return line
}

// child returns the value of a mapping's key or at a sequence's index, and the line on
// which its entry begins.
func child(node *yaml.Node, part string) (*yaml.Node, int) {
	if node.Kind == yaml.SequenceNode {
		var index int
		if _, err := fmt.Sscanf(part, "[%d]", &index); err != nil || index < 0 || index >= len(node.Content) {
			return nil, 0
		}
		return node.Content[index], node.Content[index].Line
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == part {
			return node.Content[i+1], node.Content[i].Line
		}
	}
	return nil, 0
}
