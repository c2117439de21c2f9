package kiln_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memnet"
	"github.com/balsamlock/balsamlock/kiln"
)

func TestFrameReader(t *testing.T) {
	c := qt.New(t)
	reader := kiln.NewFrameReader(strings.NewReader(": ping\r\nevent: x\n\ndata: {\"attempt\":\"a\",\"index\":3,\"text\":\"t\",\"last\":true}\r\n\r\n"))
	frame, err := reader.Next()
	c.Assert(err, qt.IsNil)
	c.Assert(frame, qt.Equals, kiln.Frame{
		Attempt: "a",
		Index:   3,
		Text:    "t",
		Last:    true,
	})
	_, err = reader.Next()
	c.Assert(err, qt.ErrorIs, io.EOF)
	_, err = kiln.NewFrameReader(strings.NewReader("data: " + strings.Repeat("x", 70<<10))).Next()
	c.Assert(err, qt.ErrorIs, kiln.ErrFrameTooLong)
}

func FuzzFrameReader(f *testing.F) {
	f.Add([]byte("data: {\"attempt\":\"a\",\"index\":0,\"text\":\" pane\"}\n\n"))
	f.Add([]byte(": comment\nid: 1\ndata:{\"attempt\":\"a\",\"index\":1,\"last\":true,\"finish\":\"stop\"}\r\n\r\n"))
	f.Add([]byte("data: {\"attempt\":\"a\",\"index\":-1}\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte("data: {\"attempt\":"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := kiln.NewFrameReader(bytes.NewReader(raw))
		for range len(raw) + 1 {
			frame, err := reader.Next()
			if errors.Is(err, io.EOF) || errors.Is(err, kiln.ErrFrameTooLong) {
				return
			}
			if err == nil && (frame.Attempt == "" || frame.Index < 0) {
				t.Fatalf("frame %+v without attempt or index", frame)
			}
		}
		t.Fatalf("no end after %d frames", len(raw)+1)
	})
}

// An unsent call must be distinguishable from one whose response was lost, because only the
// unsent call certainly had no effect.
func TestNotSentErrorOnlyIfNotSent(t *testing.T) {
	c := qt.New(t)
	network := memnet.New()
	client := kiln.NewClient(kiln.ClientDeps{
		Address: "10.0.1.1:80",
		HTTP:    &http.Client{Transport: &http.Transport{DialContext: network.Dialer("10.0.0.1")}},
	})
	var notSent *kiln.NotSentError
	calls := map[string]func() error{
		"cancel": func() error { return client.Cancel(context.Background(), "a", kiln.Owner{}) },
		"decode": func() error {
			_, err := client.Decode(context.Background(), kiln.DecodeRequest{})
			return err
		},
	}
	for name, call := range calls {
		c.Assert(call(), qt.ErrorAs, &notSent, qt.Commentf(name))
	}
	listener, err := network.Listen("10.0.1.1:80")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go closeAfterRequest(listener)
	for name, call := range calls {
		err := call()
		c.Assert(err, qt.IsNotNil)
		c.Assert(err, qt.Not(qt.ErrorAs), &notSent, qt.Commentf(name))
	}
}

// closeAfterRequest accepts connections, reads some bytes from each and closes it.
func closeAfterRequest(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 64))
		_ = conn.Close()
	}
}
