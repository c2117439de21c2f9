package crew

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/common/peerkey"
	"github.com/balsamlock/balsamlock/common/transport"
	"github.com/balsamlock/balsamlock/crew/crewpb"
	"github.com/balsamlock/balsamlock/kiln"
)

const (
	testPeerKey   = "a peer key of some length"
	measuredCalls = 2000
	measuredConns = 200
)

// echoServer answers each heartbeat with the request.
type echoServer struct{}

func (echoServer) Heartbeat(_ context.Context, g *crewpb.Gossip) (*crewpb.Gossip, error) {
	return g, nil
}

func (echoServer) Sync(context.Context, *crewpb.SyncRequest) (*crewpb.SyncReply, error) {
	return &crewpb.SyncReply{}, nil
}

func (echoServer) Holds(context.Context, *crewpb.HoldsRequest) (*crewpb.HoldsReply, error) {
	return &crewpb.HoldsReply{}, nil
}

// countingConn counts the bytes that one end of a connection reads and writes.
type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(c *qt.C) time.Duration {
	c.Helper()
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startWireServer serves peer calls and load reports on the loopback interface.
func startWireServer(c *qt.C) (address string) {
	mux := http.NewServeMux()
	peers := crewpb.NewCrewServer(echoServer{})
	mux.Handle(peers.PathPrefix(), peerkey.Require(testPeerKey, peers))
	mux.HandleFunc(kiln.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(busyReport(7, time.Now()))
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{
		Handler: mux,
	}
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// busyReport returns a report as a decode engine near peak load sends it.
func busyReport(i int, at time.Time) kiln.LoadReport {
	return kiln.LoadReport{
		At:              at,
		Incarnation:     1_800_000_000_000,
		Role:            kiln.RoleDecode,
		Slots:           20,
		SlotsUsed:       10 + i%10,
		Pieces:          400,
		PiecesUsed:      200 + i%150,
		StepMS:          18.25 + float64(i%20)*0.25,
		TokensPerSecond: 0,
		Models:          []string{"draft-7b@2026-11", "survey-adapter@3"},
	}
}

// measureWire measures the cost of peer calls and polls over the loopback interface.
func measureWire(c *qt.C) wireCost {
	address := startWireServer(c)
	var read, written atomic.Int64
	dialer := &net.Dialer{}
	client := transport.NewClientWithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{
			Conn:    conn,
			read:    &read,
			written: &written,
		}, err
	})
	defer client.CloseIdleConnections()
	keyed := &http.Client{
		Transport: peerkey.Transport(testPeerKey, client.Transport),
	}
	peer := crewpb.NewCrewProtobufClient("http://"+address, keyed)
	cost := wireCost{}
	g := &crewpb.Gossip{
		Sender: 1,
		AtMs:   1,
	}
	call := func() {
		_, err := peer.Heartbeat(context.Background(), g)
		c.Assert(err, qt.IsNil)
	}
	call()
	sent, got := written.Load(), read.Load()
	call()
	cost.RequestBytes = int(written.Load()-sent) - proto.Size(g)
	cost.ReplyBytes = int(read.Load()-got) - proto.Size(g)
	cost.CallMicros = cpuMicrosPerCall(c, call)
	engine := kiln.NewClient(kiln.ClientDeps{
		Address: address,
		HTTP:    client,
	})
	poll := func() {
		_, err := engine.Load(context.Background())
		c.Assert(err, qt.IsNil)
	}
	poll()
	before := written.Load() + read.Load()
	poll()
	cost.PollBytes = int(written.Load() + read.Load() - before)
	cost.PollMicros = cpuMicrosPerCall(c, poll)
	cost.ConnectionBytes = measureConnections(c, address)
	return cost
}

// cpuMicrosPerCall returns the CPU time of a call, in microseconds.
func cpuMicrosPerCall(c *qt.C, call func()) float64 {
	start := cpuTime(c)
	for range measuredCalls {
		call()
	}
	return float64(cpuTime(c)-start) / float64(time.Microsecond) / measuredCalls
}

// measureConnections returns the memory of both ends of an idle connection.
func measureConnections(c *qt.C, address string) float64 {
	before := memoryInUse()
	var clients []*http.Client
	for range measuredConns {
		client := transport.NewClient()
		peer := crewpb.NewCrewProtobufClient("http://"+address, &http.Client{
			Transport: peerkey.Transport(testPeerKey, client.Transport),
		})
		_, err := peer.Heartbeat(context.Background(), &crewpb.Gossip{})
		c.Assert(err, qt.IsNil)
		clients = append(clients, client)
	}
	after := memoryInUse()
	for _, client := range clients {
		client.CloseIdleConnections()
	}
	return float64(after-before) / measuredConns
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// Calls without the peer key are refused, and calls with it are served.
func TestPeerKeyIsRequired(t *testing.T) {
	c := qt.New(t)
	address := startWireServer(c)
	client := transport.NewClient()
	defer client.CloseIdleConnections()
	_, err := crewpb.NewCrewProtobufClient("http://"+address, client).Heartbeat(context.Background(), &crewpb.Gossip{})
	c.Assert(err, qt.IsNotNil)
	keyed := &http.Client{
		Transport: peerkey.Transport(testPeerKey, client.Transport),
	}
	_, err = crewpb.NewCrewProtobufClient("http://"+address, keyed).Heartbeat(context.Background(), &crewpb.Gossip{})
	c.Assert(err, qt.IsNil)
}
