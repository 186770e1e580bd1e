package table

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Cell is a value and the log offset of the edit that set it.
type Cell struct {
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
}

// row is the cells of one row in the order of the sheet's columns.
type row struct {
	columns sheet
	cells   []Cell
}

// State is the table folded up to one offset. It is immutable: Apply returns a
// changed copy that shares what did not change.
type State struct {
	offset  int64
	sheets  map[string]map[string]*row
	recent  *recentEdits
	typed   typedRows
	history []HistoryEntry
}

// typedRows are the rows in the form that requests use.
type typedRows struct {
	organisations map[string]*Organisation
	byKeyHash     map[string]*Organisation
	models        map[string]*Model
	upstreams     []*Upstream
	services      map[string]*Service
}

// HistoryEntry is one accepted edit with the values it replaced.
type HistoryEntry struct {
	Offset   int64    `json:"offset"`
	ID       string   `json:"id"`
	Operator string   `json:"operator"`
	Changes  []Change `json:"changes"`
	// Before are the replaced values, in the order of Changes.
	Before []string `json:"before"`
	// Removed are the cells of removed rows in column order, by "sheet/row".
	Removed map[string][]string `json:"removed,omitempty"`
}

// maxHistory bounds the accepted edits kept for history and undo.
const maxHistory = 200

// New returns the empty table, before any record of the log.
func New() *State {
	s := &State{sheets: map[string]map[string]*row{}, recent: newRecentEdits()}
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

// Offset returns the offset of the next record to fold: all before it are in.
func (s *State) Offset() int64 { return s.offset }

// Organisation returns an organisation by name, or nil.
func (s *State) Organisation(name string) *Organisation { return s.typed.organisations[name] }

// OrganisationByKeyHash returns the organisation whose key has this SHA-256, in
// small hex digits, or nil.
func (s *State) OrganisationByKeyHash(hash string) *Organisation { return s.typed.byKeyHash[hash] }

// Model returns a model by name, or nil.
func (s *State) Model(name string) *Model { return s.typed.models[name] }

// Service returns a plain service by name, or nil.
func (s *State) Service(name string) *Service { return s.typed.services[name] }

// Upstreams returns all upstreams in the order of their names. Do not change.
func (s *State) Upstreams() []*Upstream { return s.typed.upstreams }

// ModelNames returns the names of all models, sorted.
func (s *State) ModelNames() []string { return slices.Sorted(maps.Keys(s.typed.models)) }

// History returns the newest accepted edits, oldest first. Do not change.
func (s *State) History() []HistoryEntry { return s.history }

// Verdict returns the verdict on an edit by id while it is remembered.
func (s *State) Verdict(id string) (Verdict, bool) { return s.recent.find(id) }

// Cell returns a cell; the zero Cell if it was never set.
func (s *State) Cell(sheetName, rowName, columnName string) Cell {
	r := s.sheets[sheetName][rowName]
	if r == nil {
		return Cell{}
	}
	at := r.columns.index(columnName)
	if at < 0 {
		return Cell{}
	}
	return r.cells[at]
}

// Row returns the cells of a row in column order, or nil. Do not change.
func (s *State) Row(sheetName, rowName string) []Cell {
	r := s.sheets[sheetName][rowName]
	if r == nil {
		return nil
	}
	return r.cells
}

// RowNames returns the names of a sheet's rows, sorted.
func (s *State) RowNames(sheetName string) []string {
	return slices.Sorted(maps.Keys(s.sheets[sheetName]))
}

// Apply folds the record at an offset. A record that is no edit, or an edit that
// was not accepted, changes only the offset. The verdict has an empty id when
// the record is no edit or a second copy.
func (s *State) Apply(offset int64, record []byte) (*State, Verdict) {
	next := *s
	next.offset = offset + 1
	var edit Edit
	if err := json.Unmarshal(record, &edit); err != nil {
		return &next, Verdict{}
	}
	if _, seen := s.recent.find(edit.ID); seen {
		return &next, Verdict{}
	}
	verdict := s.judge(offset, edit)
	next.recent = s.recent.with(verdict)
	if verdict.Result == Accepted {
		next.apply(s, offset, edit)
	}
	return &next, verdict
}

// judge is the verdict on an edit, as a pure function of the state before it.
func (s *State) judge(offset int64, edit Edit) Verdict {
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
	return s.incompleteRows(edit)
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

// incompleteRows checks the rows as the edit would leave them.
func (s *State) incompleteRows(edit Edit) []Issue {
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
		issues = append(issues, after[name].missing(name)...)
	}
	return append(issues, s.sharedKeys(after)...)
}

// sharedKeys refuses a key hash that two organisations would have after an edit,
// whether the edit gives it to both or one has it already.
func (s *State) sharedKeys(after map[string]*row) []Issue {
	holders := map[string]string{}
	issues := []Issue{}
	for _, address := range slices.Sorted(maps.Keys(after)) {
		r := after[address]
		name, isOrganisation := strings.CutPrefix(address, Organisations+"/")
		if r.cells == nil || !isOrganisation {
			continue
		}
		hash := strings.ToLower(r.text("key_sha256"))
		other := holders[hash]
		if old := s.OrganisationByKeyHash(hash); old != nil && after[Organisations+"/"+old.Name] == nil {
			other = old.Name
		}
		if other != "" && hash != "" {
			reason := "another organisation has this key: " + other
			issues = append(issues, Issue{Address: address + "/key_sha256", Reason: reason})
		}
		holders[hash] = name
	}
	return issues
}

func (r *row) missing(address string) []Issue {
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

// rowCopy returns a copy of a row, or a new empty one.
func (s *State) rowCopy(sheetName, rowName string) *row {
	columns := schema[sheetName]
	if r := s.sheets[sheetName][rowName]; r != nil {
		return &row{columns: columns, cells: slices.Clone(r.cells)}
	}
	return &row{columns: columns, cells: make([]Cell, len(columns))}
}

// conflicts compares the revision each change was based on with the cell's.
func (s *State) conflicts(edit Edit) []Issue {
	issues := []Issue{}
	for _, change := range edit.Changes {
		current := s.current(change)
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

func (s *State) current(change Change) Cell {
	if !change.Remove {
		return s.Cell(change.Sheet, change.Row, change.Column)
	}
	if r := s.sheets[change.Sheet][change.Row]; r != nil {
		return Cell{Revision: r.newest()}
	}
	return Cell{}
}

// apply writes an accepted edit into s, which is a shallow copy of before. A
// revision is the offset plus one, so that 0 always means "never set".
func (s *State) apply(before *State, offset int64, edit Edit) {
	s.sheets = maps.Clone(before.sheets)
	touched := map[string]bool{}
	rows := map[string]map[string]bool{}
	for _, change := range edit.Changes {
		if !touched[change.Sheet] {
			s.sheets[change.Sheet] = maps.Clone(before.sheets[change.Sheet])
			touched[change.Sheet] = true
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
	s.remember(before, offset, edit)
	s.retype(before, rows)
}

func (s *State) remember(before *State, offset int64, edit Edit) {
	entry := HistoryEntry{Offset: offset, ID: edit.ID, Operator: edit.Operator, Changes: edit.Changes}
	for _, change := range edit.Changes {
		entry.Before = append(entry.Before, before.current(change).Value)
		if change.Remove {
			entry.keepRemoved(change.Address(), before.Row(change.Sheet, change.Row))
		}
	}
	start := max(0, len(before.history)-maxHistory+1)
	s.history = append(slices.Clone(before.history[start:]), entry)
}

func (h *HistoryEntry) keepRemoved(address string, cells []Cell) {
	if h.Removed == nil {
		h.Removed = map[string][]string{}
	}
	values := make([]string, len(cells))
	for i, cell := range cells {
		values[i] = cell.Value
	}
	h.Removed[address] = values
}

// retype rebuilds the typed form of the touched rows.
func (s *State) retype(before *State, rows map[string]map[string]bool) {
	if names, touched := rows[Organisations]; touched {
		s.typed.organisations = maps.Clone(before.typed.organisations)
		s.typed.byKeyHash = maps.Clone(before.typed.byKeyHash)
		s.retypeOrganisations(names)
	}
	if names, touched := rows[Models]; touched {
		s.typed.models = retyped(before.typed.models, names, s.sheets[Models], (*row).model)
	}
	if names, touched := rows[Services]; touched {
		s.typed.services = retyped(before.typed.services, names, s.sheets[Services], (*row).service)
	}
	if _, touched := rows[Upstreams]; touched {
		s.typed.upstreams = typedUpstreams(s.sheets[Upstreams])
	}
}

// retypeOrganisations first forgets all old keys: an edit may hand one on from
// one organisation to another.
func (s *State) retypeOrganisations(names map[string]bool) {
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

// retyped returns a copy of a typed sheet with the named rows built again.
func retyped[T any](
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

func typedUpstreams(rows map[string]*row) []*Upstream {
	upstreams := make([]*Upstream, 0, len(rows))
	for name, r := range rows {
		upstreams = append(upstreams, r.upstream(name))
	}
	slices.SortFunc(upstreams, func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return upstreams
}
