package box

import (
	"encoding/json"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/membership"
	"dooryard.example/dooryard/internal/pool"
)

type jsonRecord = json.RawMessage

// Status is what a box says of itself and of the fleet as it sees it.
type Status struct {
	Box           string       `json:"box"`
	FailureDomain string       `json:"failure_domain"`
	Ready         bool         `json:"ready"`
	NowMs         clock.Millis `json:"now_ms"`
	// TableOffset is the offset that the table in force has reached.
	TableOffset int64 `json:"table_offset"`
	// LogSource is where the table's records came from last.
	LogSource string `json:"log_source"`
	// LogReadMs is the instant of the last read that was answered.
	LogReadMs clock.Millis `json:"log_read_ms"`
	Running   int          `json:"running"`
	Waiting   int          `json:"waiting"`
	Upstreams []pool.Load  `json:"upstreams"`
	// Orders is the lease to give orders, when this box holds it.
	Orders *OrdersStatus `json:"orders,omitempty"`
	Peers  []PeerStatus  `json:"peers"`
	// Lowest is the box of this failure domain whose table is furthest behind.
	Lowest LowestOffset `json:"lowest"`
}

// OrdersStatus is the lease to give orders to a failure domain's engines.
type OrdersStatus struct {
	Token   int64        `json:"token"`
	UntilMs clock.Millis `json:"until_ms"`
}

// PeerStatus is another box of the failure domain as this one sees it.
type PeerStatus struct {
	Name        string `json:"name"`
	Status      string `json:"status"`
	TableOffset int64  `json:"table_offset"`
	InFlight    uint32 `json:"in_flight"`
}

// LowestOffset names the box whose table is furthest behind.
type LowestOffset struct {
	Box         string `json:"box"`
	TableOffset int64  `json:"table_offset"`
}

// Status returns the box's state now.
func (b *Box) Status() Status {
	running, waiting := b.admit.Lengths()
	status := Status{
		Box: b.settings.Box, FailureDomain: b.settings.FailureDomain, Ready: b.Ready(), NowMs: b.clock.Now(),
		TableOffset: b.store.State().Offset(), LogSource: b.follower.Source(), LogReadMs: b.follower.LastReadMs(),
		Running: running, Waiting: waiting, Upstreams: b.pools.Loads(),
	}
	if held, holds := b.lease.Held(); holds {
		status.Orders = &OrdersStatus{Token: held.Token, UntilMs: held.UntilMs}
	}
	status.addPeers(b.gossip.Members(), b.gossip.FactsOf())
	return status
}

func (s *Status) addPeers(members []membership.Member, facts map[string]membership.Facts) {
	s.Lowest = LowestOffset{Box: s.Box, TableOffset: s.TableOffset}
	for _, member := range members {
		told, known := facts[member.Name]
		s.Peers = append(s.Peers, PeerStatus{
			Name: member.Name, Status: member.Status.String(), TableOffset: told.TableOffset, InFlight: told.InFlight,
		})
		if known && told.TableOffset < s.Lowest.TableOffset {
			s.Lowest = LowestOffset{Box: member.Name, TableOffset: told.TableOffset}
		}
	}
}
