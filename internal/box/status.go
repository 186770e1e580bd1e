package box

import (
	"encoding/json"

	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/membership"
	"dooryard.example/dooryard/internal/pool"
)

type jsonRecord = json.RawMessage

// Status is a box's state and its view of the fleet.
type Status struct {
	Box           string       `json:"box"`
	FailureDomain string       `json:"failure_domain"`
	Ready         bool         `json:"ready"`
	NowMs         clock.Millis `json:"now_ms"`
	// TableOffset is the log offset up to which the current table has been applied.
	TableOffset int64 `json:"table_offset"`
	// LogSource is the source of the newest table records.
	LogSource string `json:"log_source"`
	// LogReadMs is the time of the last successful read.
	LogReadMs clock.Millis `json:"log_read_ms"`
	Running   int          `json:"running"`
	Waiting   int          `json:"waiting"`
	Upstreams []pool.Load  `json:"upstreams"`
	// Orders is the lease to send orders, if this box holds it.
	Orders *OrdersStatus `json:"orders,omitempty"`
	Peers  []PeerStatus  `json:"peers"`
	// Lowest is the box of this failure domain whose table is furthest behind.
	Lowest LowestOffset `json:"lowest"`
}

// OrdersStatus is the lease to send orders to the engines of a failure domain.
type OrdersStatus struct {
	Token   int64        `json:"token"`
	UntilMs clock.Millis `json:"until_ms"`
}

// PeerStatus is the state of another box of the failure domain as known to this box.
type PeerStatus struct {
	Name        string `json:"name"`
	Status      string `json:"status"`
	TableOffset int64  `json:"table_offset"`
	InFlight    uint32 `json:"in_flight"`
}

// LowestOffset is the box whose table is furthest behind.
type LowestOffset struct {
	Box         string `json:"box"`
	TableOffset int64  `json:"table_offset"`
}

// Status returns the box's current status.
func (b *Box) Status() Status {
	running, waiting := b.admit.QueueLengths()
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
		reported, known := facts[member.Name]
		s.Peers = append(s.Peers, PeerStatus{
			Name: member.Name, Status: member.Status.String(), TableOffset: reported.TableOffset, InFlight: reported.InFlight,
		})
		if known && reported.TableOffset < s.Lowest.TableOffset {
			s.Lowest = LowestOffset{Box: member.Name, TableOffset: reported.TableOffset}
		}
	}
}
