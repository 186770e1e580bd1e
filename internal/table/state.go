package table

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Cell is a value with its revision: the log offset of the edit that set it, plus
// one, or 0 if the cell was never set.
type Cell struct {
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
}

// row holds the cells of one row in the order of the sheet's columns.
type row struct {
	columns sheetSchema
	cells   []Cell
}

// State is the table after all log records up to one offset were applied. It is
// immutable: Apply returns a modified copy that shares its unchanged parts.
type State struct {
	offset  int64
	sheets  map[string]map[string]*row
	recent  *recentVerdicts
	typed   typedRows
	history []HistoryEntry
}

// typedRows holds the rows as typed values for use on the request path.
type typedRows struct {
	organisations map[string]*Organisation
	byKeyHash     map[string]*Organisation
	models        map[string]*Model
	upstreams     []*Upstream
	services      map[string]*Service
}

// HistoryEntry is one accepted edit together with the values that it replaced.
type HistoryEntry struct {
	Offset   int64    `json:"offset"`
	ID       string   `json:"id"`
	Operator string   `json:"operator"`
	Changes  []Change `json:"changes"`
	// PreviousValues holds the replaced values in the order of Changes.
	PreviousValues []string `json:"before"`
	// Removed maps "sheet/row" to the values of a removed row in column order.
	Removed map[string][]string `json:"removed,omitempty"`
}

// maxHistory is the maximum number of accepted edits kept for history and undo.
const maxHistory = 200

// New returns an empty table to which no log record was applied.
func New() *State {
	s := &State{sheets: map[string]map[string]*row{}, recent: newRecentVerdicts()}
	for _, name := range SheetNames() {
		s.sheets[name] = map[string]*row{}
	}
	s.typed = typedRows{
		organisations: map[string]*Organisation{},
		byKeyHash:     map[string]*Organisation{},
		models:        map[string]*Model{},
		services:      map[string]*Service{},
	}
	return s
}

// Offset returns the offset of the next record to apply. All earlier records were
// applied.
func (s *State) Offset() int64 { return s.offset }

// Organisation returns the organisation with this name, or nil.
func (s *State) Organisation(name string) *Organisation { return s.typed.organisations[name] }

// OrganisationByKeyHash returns the organisation whose key has this SHA-256, in
// lower-case hex digits, or nil.
func (s *State) OrganisationByKeyHash(hash string) *Organisation { return s.typed.byKeyHash[hash] }

// Model returns the model with this name, or nil.
func (s *State) Model(name string) *Model { return s.typed.models[name] }

// Service returns the plain service with this name, or nil.
func (s *State) Service(name string) *Service { return s.typed.services[name] }

// Upstreams returns all upstreams sorted by name. Callers must not modify the
// result.
func (s *State) Upstreams() []*Upstream { return s.typed.upstreams }

// ModelNames returns the sorted names of all models.
func (s *State) ModelNames() []string { return slices.Sorted(maps.Keys(s.typed.models)) }

// History returns the newest accepted edits, oldest first. Callers must not modify
// the result.
func (s *State) History() []HistoryEntry { return s.history }

// Verdict returns the verdict on the edit with this ID and reports whether the
// state still holds it.
func (s *State) Verdict(id string) (Verdict, bool) { return s.recent.lookup(id) }

// Cell returns a cell, or the zero Cell if it was never set or does not exist.
func (s *State) Cell(sheetName, rowName, columnName string) Cell {
	r := s.sheets[sheetName][rowName]
	if r == nil {
		return Cell{}
	}
	index := r.columns.index(columnName)
	if index < 0 {
		return Cell{}
	}
	return r.cells[index]
}

// Row returns the cells of a row in column order, or nil. Callers must not modify
// the result.
func (s *State) Row(sheetName, rowName string) []Cell {
	r := s.sheets[sheetName][rowName]
	if r == nil {
		return nil
	}
	return r.cells
}

// RowNames returns the sorted names of a sheet's rows.
func (s *State) RowNames(sheetName string) []string {
	return slices.Sorted(maps.Keys(s.sheets[sheetName]))
}

// Apply applies the log record at an offset and returns the resulting state. Every
// record advances the offset. A malformed record, a duplicate of an edit and an
// edit that is not accepted leave the cells unchanged. The verdict has an empty ID
// if the record is malformed or a duplicate.
func (s *State) Apply(offset int64, record []byte) (*State, Verdict) {
	next := *s
	next.offset = offset + 1
	var edit Edit
	if err := json.Unmarshal(record, &edit); err != nil {
		return &next, Verdict{}
	}
	if _, seen := s.recent.lookup(edit.ID); seen {
		return &next, Verdict{}
	}
	verdict := s.evaluate(offset, edit)
	next.recent = s.recent.with(verdict)
	if verdict.Result == Accepted {
		next.apply(s, offset, edit)
	}
	return &next, verdict
}

// evaluate returns the verdict on an edit. It is a pure function of the edit, its
// offset and the state before it.
func (s *State) evaluate(offset int64, edit Edit) Verdict {
	verdict := Verdict{ID: edit.ID, Offset: offset, Result: Accepted}
	if issues := s.invalidChanges(edit); len(issues) > 0 {
		verdict.Result = Invalid
		verdict.Issues = issues
		return verdict
	}
	if issues := s.conflicts(edit); len(issues) > 0 {
		verdict.Result = Conflict
		verdict.Issues = issues
	}
	return verdict
}

func (s *State) invalidChanges(edit Edit) []Issue {
	issues := []Issue{}
	seen := map[string]bool{}
	for _, change := range edit.Changes {
		if seen[change.Address()] {
			issues = append(issues, Issue{Address: change.Address(), Reason: "changed twice in one edit"})
		}
		seen[change.Address()] = true
		if err := checkChange(change); err != nil {
			issues = append(issues, Issue{Address: change.Address(), Reason: err.Error()})
		}
	}
	if len(issues) > 0 {
		return issues
	}
	return s.invalidRows(edit)
}

func checkChange(change Change) error {
	if !change.Remove {
		return CheckCell(change.Sheet, change.Row, change.Column, change.Value)
	}
	if _, known := schema[change.Sheet]; !known {
		return fmt.Errorf("%w: sheet %q: unknown", ErrInvalid, change.Sheet)
	}
	return nil
}

// invalidRows validates the rows as they would be after the edit.
func (s *State) invalidRows(edit Edit) []Issue {
	after := map[string]*row{}
	issues := []Issue{}
	for _, change := range edit.Changes {
		name := change.Sheet + "/" + change.Row
		if after[name] == nil {
			after[name] = s.rowCopy(change.Sheet, change.Row)
		}
		if change.Remove {
			after[name].cells = nil
			continue
		}
		if after[name].cells == nil {
			issues = append(issues, Issue{Address: change.Address(), Reason: "its row is removed by the same edit"})
			continue
		}
		after[name].set(change.Column, Cell{Value: change.Value})
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		issues = append(issues, after[name].missingCells(name)...)
	}
	return append(issues, s.duplicateKeyHashes(after)...)
}

// duplicateKeyHashes returns an issue for each key hash that two organisations
// would share after an edit, whether the edit assigns it to both or one of them
// already has it.
func (s *State) duplicateKeyHashes(after map[string]*row) []Issue {
	owners := map[string]string{}
	issues := []Issue{}
	for _, address := range slices.Sorted(maps.Keys(after)) {
		r := after[address]
		name, isOrganisation := strings.CutPrefix(address, Organisations+"/")
		if r.cells == nil || !isOrganisation {
			continue
		}
		hash := strings.ToLower(r.text("key_sha256"))
		other := owners[hash]
		if old := s.OrganisationByKeyHash(hash); old != nil && after[Organisations+"/"+old.Name] == nil {
			other = old.Name
		}
		if other != "" && hash != "" {
			reason := "another organisation has this key: " + other
			issues = append(issues, Issue{Address: address + "/key_sha256", Reason: reason})
		}
		owners[hash] = name
	}
	return issues
}

func (r *row) missingCells(address string) []Issue {
	issues := []Issue{}
	for i := range r.cells {
		if r.columns[i].required && r.cells[i].Value == "" {
			issues = append(issues, Issue{Address: address + "/" + r.columns[i].name, Reason: "is required in this row"})
		}
	}
	return issues
}

func (r *row) set(name string, cell Cell) { r.cells[r.columns.index(name)] = cell }

func (r *row) newest() int64 {
	newest := int64(0)
	for _, cell := range r.cells {
		newest = max(newest, cell.Revision)
	}
	return newest
}

// rowCopy returns a copy of a row, or an empty row if it does not exist.
func (s *State) rowCopy(sheetName, rowName string) *row {
	columns := schema[sheetName]
	if r := s.sheets[sheetName][rowName]; r != nil {
		return &row{columns: columns, cells: slices.Clone(r.cells)}
	}
	return &row{columns: columns, cells: make([]Cell, len(columns))}
}

// conflicts returns an issue for each change that is not based on the current
// revision of its cell or, for a removal, of its row.
func (s *State) conflicts(edit Edit) []Issue {
	issues := []Issue{}
	for _, change := range edit.Changes {
		current := s.currentCell(change)
		if current.Revision == change.BasedOn {
			continue
		}
		issues = append(issues, Issue{
			Address: change.Address(), Reason: "changed since it was read",
			Wanted: change.Value, Current: current.Value, CurrentRevision: current.Revision,
		})
	}
	return issues
}

func (s *State) currentCell(change Change) Cell {
	if !change.Remove {
		return s.Cell(change.Sheet, change.Row, change.Column)
	}
	if r := s.sheets[change.Sheet][change.Row]; r != nil {
		return Cell{Revision: r.newest()}
	}
	return Cell{}
}

// apply applies an accepted edit to s, which is a shallow copy of before. A
// revision is the offset plus one, so 0 always means that a cell was never set.
func (s *State) apply(before *State, offset int64, edit Edit) {
	s.sheets = maps.Clone(before.sheets)
	copied := map[string]bool{}
	rows := map[string]map[string]bool{}
	for _, change := range edit.Changes {
		if !copied[change.Sheet] {
			s.sheets[change.Sheet] = maps.Clone(before.sheets[change.Sheet])
			copied[change.Sheet] = true
			rows[change.Sheet] = map[string]bool{}
		}
		if !rows[change.Sheet][change.Row] && !change.Remove {
			s.sheets[change.Sheet][change.Row] = before.rowCopy(change.Sheet, change.Row)
		}
		rows[change.Sheet][change.Row] = true
		if change.Remove {
			delete(s.sheets[change.Sheet], change.Row)
			continue
		}
		s.sheets[change.Sheet][change.Row].set(change.Column, Cell{Value: change.Value, Revision: offset + 1})
	}
	s.appendHistory(before, offset, edit)
	s.rebuildTyped(before, rows)
}

func (s *State) appendHistory(before *State, offset int64, edit Edit) {
	entry := HistoryEntry{Offset: offset, ID: edit.ID, Operator: edit.Operator, Changes: edit.Changes}
	for _, change := range edit.Changes {
		entry.PreviousValues = append(entry.PreviousValues, before.currentCell(change).Value)
		if change.Remove {
			entry.addRemoved(change.Address(), before.Row(change.Sheet, change.Row))
		}
	}
	start := max(0, len(before.history)-maxHistory+1)
	s.history = append(slices.Clone(before.history[start:]), entry)
}

func (h *HistoryEntry) addRemoved(address string, cells []Cell) {
	if h.Removed == nil {
		h.Removed = map[string][]string{}
	}
	values := make([]string, len(cells))
	for i, cell := range cells {
		values[i] = cell.Value
	}
	h.Removed[address] = values
}

// rebuildTyped rebuilds the typed form of the given rows, grouped by sheet.
func (s *State) rebuildTyped(before *State, rows map[string]map[string]bool) {
	if names, changed := rows[Organisations]; changed {
		s.typed.organisations = maps.Clone(before.typed.organisations)
		s.typed.byKeyHash = maps.Clone(before.typed.byKeyHash)
		s.rebuildOrganisations(names)
	}
	if names, changed := rows[Models]; changed {
		s.typed.models = rebuildRows(before.typed.models, names, s.sheets[Models], (*row).model)
	}
	if names, changed := rows[Services]; changed {
		s.typed.services = rebuildRows(before.typed.services, names, s.sheets[Services], (*row).service)
	}
	if _, changed := rows[Upstreams]; changed {
		s.typed.upstreams = buildUpstreams(s.sheets[Upstreams])
	}
}

// rebuildOrganisations rebuilds the given organisations. It first removes all
// their old keys, because an edit may move a key from one organisation to
// another.
func (s *State) rebuildOrganisations(names map[string]bool) {
	for name := range names {
		if old := s.typed.organisations[name]; old != nil {
			delete(s.typed.byKeyHash, old.KeyHash)
			delete(s.typed.organisations, name)
		}
	}
	for name := range names {
		r := s.sheets[Organisations][name]
		if r == nil {
			continue
		}
		organisation := r.organisation(name)
		s.typed.organisations[name] = organisation
		s.typed.byKeyHash[organisation.KeyHash] = organisation
	}
}

// rebuildRows returns a copy of a typed sheet in which the named rows are rebuilt.
func rebuildRows[T any](
	old map[string]*T, names map[string]bool, rows map[string]*row, build func(*row, string) *T,
) map[string]*T {
	typed := maps.Clone(old)
	for name := range names {
		delete(typed, name)
		if r := rows[name]; r != nil {
			typed[name] = build(r, name)
		}
	}
	return typed
}

func buildUpstreams(rows map[string]*row) []*Upstream {
	upstreams := make([]*Upstream, 0, len(rows))
	for name, r := range rows {
		upstreams = append(upstreams, r.upstream(name))
	}
	slices.SortFunc(upstreams, func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return upstreams
}
