// Package tablefile exports the table to files for editors and spreadsheets, and
// converts such files back into edits: YAML for the complete table, CSV for one
// sheet.
package tablefile

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"go.yaml.in/yaml/v3"

	"dooryard.example/dooryard/internal/operators"
	"dooryard.example/dooryard/internal/table"
)

// ErrMalformed is returned for a file that cannot be used. The message names the
// line and the column.
var ErrMalformed = errors.New("malformed table file")

// File is the content of a table file.
type File struct {
	// Offset is the offset of the table at the export, or 0 if it is unknown.
	Offset int64
	// Sheets maps sheet names to rows. A CSV file has a single sheet.
	Sheets map[string]Rows
}

// Rows maps row names to the values of cells by column.
type Rows map[string]map[string]string

// FromTable returns a file with all non-empty cells of the table.
func FromTable(reply operators.TableResponse) File {
	file := File{Offset: reply.Offset, Sheets: map[string]Rows{}}
	for _, sheet := range reply.Sheets {
		rows := Rows{}
		for _, row := range sheet.Rows {
			rows[row.Name] = map[string]string{}
			for i, cell := range row.Cells {
				if cell.Value != "" {
					rows[row.Name][sheet.Columns[i]] = cell.Value
				}
			}
		}
		file.Sheets[sheet.Name] = rows
	}
	return file
}

// yamlFile is the structure of a YAML table file.
type yamlFile struct {
	Offset int64           `yaml:"offset"`
	Sheets map[string]Rows `yaml:",inline"`
}

// EncodeYAML returns the complete file as YAML with rows sorted by name.
func (f File) EncodeYAML() ([]byte, error) {
	data, err := yaml.Marshal(yamlFile(f))
	if err != nil {
		return nil, fmt.Errorf("encode table file: %w", err)
	}
	return data, nil
}

// DecodeYAML decodes a YAML table file. It validates every sheet, row, column and
// value, and the error joins all problems.
func DecodeYAML(name string, data []byte) (File, error) {
	var decoded yamlFile
	if err := yaml.Unmarshal(data, &decoded); err != nil {
		return File{}, fmt.Errorf("%w: %s: %w", ErrMalformed, name, err)
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return File{}, fmt.Errorf("%w: %s: %w", ErrMalformed, name, err)
	}
	problems := []error{}
	for _, cell := range cellNodes(&document) {
		if err := table.CheckCell(cell.sheet, cell.row, cell.column, cell.value); err != nil {
			problems = append(problems, fmt.Errorf("%w: %s:%d: %w", ErrMalformed, name, cell.line, err))
		}
	}
	return File(decoded), errors.Join(problems...)
}

// cellNode is one cell with its line number.
type cellNode struct {
	sheet, row, column, value string
	line                      int
}

func cellNodes(document *yaml.Node) []cellNode {
	cells := []cellNode{}
	if len(document.Content) == 0 {
		return cells
	}
	for sheet, rows := range pairs(document.Content[0]) {
		if sheet.Value == "offset" {
			continue
		}
		for row, columns := range pairs(rows) {
			for column, value := range pairs(columns) {
				cells = append(cells, cellNode{sheet.Value, row.Value, column.Value, value.Value, column.Line})
			}
		}
	}
	return cells
}

// pairs yields the keys and values of a mapping node. Other nodes yield nothing.
func pairs(node *yaml.Node) func(yield func(key, value *yaml.Node) bool) {
	return func(yield func(key, value *yaml.Node) bool) {
		if node.Kind != yaml.MappingNode {
			return
		}
		for i := 0; i+1 < len(node.Content); i += 2 {
			if !yield(node.Content[i], node.Content[i+1]) {
				return
			}
		}
	}
}

// Names of the first and the last CSV column: the row's name and the offset of the
// export.
const (
	rowColumn    = "row"
	offsetColumn = "offset"
)

// EncodeCSV returns one sheet as CSV.
func (f File) EncodeCSV(sheet string) ([]byte, error) {
	columns := table.Columns(sheet)
	if len(columns) == 0 {
		return nil, fmt.Errorf("%w: sheet %q: unknown, have %v", ErrMalformed, sheet, table.SheetNames())
	}
	var buffer bytes.Buffer
	w := csv.NewWriter(&buffer)
	// Writing to a buffer cannot fail.
	_ = w.Write(slices.Concat([]string{rowColumn}, columns, []string{offsetColumn}))
	for _, row := range slices.Sorted(maps.Keys(f.Sheets[sheet])) {
		record := []string{row}
		for _, column := range columns {
			record = append(record, f.Sheets[sheet][row][column])
		}
		_ = w.Write(append(record, strconv.FormatInt(f.Offset, 10)))
	}
	w.Flush()
	return buffer.Bytes(), nil
}

// DecodeCSV decodes one sheet from CSV. The offset column is optional. Errors in
// records are joined.
func DecodeCSV(name, sheet string, data []byte) (File, error) {
	r := csv.NewReader(bytes.NewReader(data))
	header, err := r.Read()
	if err != nil {
		return File{}, fmt.Errorf("%w: %s: %w", ErrMalformed, name, err)
	}
	if len(header) == 0 || header[0] != rowColumn {
		return File{}, fmt.Errorf("%w: %s:1: the first column must be %q", ErrMalformed, name, rowColumn)
	}
	file := File{Sheets: map[string]Rows{sheet: {}}}
	problems := []error{}
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			return file, errors.Join(problems...)
		}
		if err != nil {
			return File{}, fmt.Errorf("%w: %s: %w", ErrMalformed, name, err)
		}
		line, _ := r.FieldPos(0)
		if err := file.addRecord(sheet, header, record); err != nil {
			problems = append(problems, fmt.Errorf("%w: %s:%d: %w", ErrMalformed, name, line, err))
		}
	}
}

func (f *File) addRecord(sheet string, header, record []string) error {
	row := record[0]
	if _, duplicate := f.Sheets[sheet][row]; duplicate {
		return fmt.Errorf("row %q: duplicate", row)
	}
	cells := map[string]string{}
	for i := 1; i < len(header); i++ {
		if header[i] == offsetColumn {
			offset, err := strconv.ParseInt(record[i], 10, 64)
			if err != nil {
				return fmt.Errorf("column %q: %q is not a whole number", offsetColumn, record[i])
			}
			f.Offset = max(f.Offset, offset)
			continue
		}
		if err := table.CheckCell(sheet, row, header[i], record[i]); err != nil {
			return err
		}
		cells[header[i]] = record[i]
	}
	f.Sheets[sheet][row] = cells
	return nil
}
