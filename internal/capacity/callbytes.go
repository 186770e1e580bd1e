package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"

	"dooryard.example/dooryard/internal/backing"
	"dooryard.example/dooryard/internal/claim"
	"dooryard.example/dooryard/internal/clock"
	"dooryard.example/dooryard/internal/engine"
	"dooryard.example/dooryard/internal/membership"
	"dooryard.example/dooryard/internal/standin"
	"dooryard.example/dooryard/internal/transport"
)

// CallBytes holds the sizes in bytes of single control calls, in both directions and with headers, as measured on a
// reused connection to the stand-in servers.
type CallBytes struct {
	EngineReport float64 `json:"engine_report"`
	ListPoll     float64 `json:"list_poll"`
	TableRead    float64 `json:"table_read"`
	// ClaimToCoordinator and ClaimAtCoordinator are the sizes of the calls for a claim and its settlement.
	ClaimToCoordinator float64 `json:"claim_to_gatherer"`
	ClaimAtCoordinator float64 `json:"claim_at_gatherer"`
	// Sums is the size of a datagram that sends the aggregated facts of a failure domain to another one.
	Sums float64 `json:"sums"`
}

// byteCount counts the bytes on a connection.
type byteCount struct{ sum int64 }

// Add adds to the count.
func (b *byteCount) Add(delta int64) { b.sum += delta }

const listedBoxes = 89

// callCounter makes calls to the stand-in servers and counts their bytes.
type callCounter struct {
	bytes  *byteCount
	client *http.Client
	log    backing.Log
	offset int64
}

// MeasureCallBytes measures the sizes of single calls.
func MeasureCallBytes() CallBytes {
	boxes := standin.NewBoxes(clock.New(), 0)
	boxes.Set(func(list *backing.BoxListReply) {
		for i := range listedBoxes {
			list.Boxes = append(list.Boxes, backing.ListedBox{Name: fmt.Sprint("box-", i), FailureDomain: "north"})
		}
	})
	log := standin.NewLog()
	server := httptest.NewServer(standin.NewPlatform(log, standin.NewWeights(clock.New(), 1), boxes))
	defer server.Close()
	fake := standin.NewEngine("e", []string{"planner"})
	defer fake.Close()
	engineServer := httptest.NewServer(fake)
	defer engineServer.Close()
	c := &callCounter{bytes: &byteCount{}}
	c.client = transport.NewControlClient(transport.Settings{
		ConnectTimeoutMs: clock.Second, IdleTimeoutMs: clock.Second, MaxIdlePerHost: 1,
	}, func() string { return callKey }, c.bytes, c.bytes)
	defer c.client.CloseIdleConnections()
	c.log = backing.Log{URL: server.URL, Client: c.client}
	return CallBytes{
		EngineReport: c.count(func(ctx context.Context) error {
			_, err := engine.Client{URL: engineServer.URL, Client: c.client}.Load(ctx)
			return err
		}),
		ListPoll:           c.listPoll(server.URL),
		TableRead:          c.tableRead(log),
		ClaimToCoordinator: c.claim(false),
		ClaimAtCoordinator: c.claim(true),
		Sums:               sumsBytes(),
	}
}

// count returns the bytes of a call. It makes a first call to open the connection, which isn't counted.
func (c *callCounter) count(call func(ctx context.Context) error) float64 {
	before := int64(0)
	for range 2 {
		before = c.bytes.sum
		if err := call(context.Background()); err != nil {
			panic(err)
		}
	}
	return float64(c.bytes.sum - before)
}

func (c *callCounter) listPoll(url string) float64 {
	list, known := backing.BoxList{URL: url, Client: c.client}, backing.VersionedList{}
	return c.count(func(ctx context.Context) error {
		var err error
		known, err = list.Get(ctx, "north", known)
		return err
	})
}

func (c *callCounter) tableRead(log *standin.Log) float64 {
	const organisations = 10
	record := weightEdit(tableWith(organisations, 0), 1)
	return c.count(func(ctx context.Context) error {
		log.Append("table", record)
		return c.readNext(ctx, "table")
	})
}

func (c *callCounter) readNext(ctx context.Context, stream string) error {
	page, err := c.log.Read(ctx, stream, c.offset, 1, 0)
	c.offset += int64(len(page.Records))
	return err
}

// claim returns the bytes of a claim and its settlement: either those of the calls to the coordinator, which have the
// form of an append, or those of the coordinator's own appends and reads.
func (c *callCounter) claim(atCoordinator bool) float64 {
	c.offset = 0
	stream := fmt.Sprint("claims-", atCoordinator)
	return c.count(func(ctx context.Context) error {
		for _, record := range claimRecords(1) {
			if err := c.appendClaim(ctx, stream, record, atCoordinator); err != nil {
				return err
			}
		}
		return nil
	})
}

func (c *callCounter) appendClaim(ctx context.Context, stream string, record claim.Record, atCoordinator bool) error {
	var value any = record
	if atCoordinator {
		value = claim.Batch{Records: []claim.Record{record}}
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if _, err := c.log.Append(ctx, stream, data); err != nil || !atCoordinator {
		return err
	}
	return c.readNext(ctx, stream)
}

func sumsBytes() float64 {
	node := membership.NewNode(membership.Box{
		Name: "north-box-001", Domain: "north", GossipAddress: "10.11.12.13:8021", PeerAddress: "10.11.12.13:8021",
	}, 1_800_000_000)
	facts := targetFacts()
	facts.Boxes = listedBoxes
	return float64(
		len(node.SendDomainFacts("a", membership.NewID("north"), 1_800_000_000_000, facts)[0].Body) + framingBytes)
}
