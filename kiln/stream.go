package kiln

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// maxFrameBytes limits the size of one line of a stream.
	maxFrameBytes    = 64 << 10
	frameBufferBytes = 4 << 10
)

var (
	dataField = []byte("data:")
	// ErrFrameTooLong is returned when a line of a stream exceeds maxFrameBytes.
	ErrFrameTooLong = errors.New("frame too long")
)

// clientStream reads the frames of a decode from server-sent events.
type clientStream struct {
	ctx       context.Context
	cancel    context.CancelFunc
	peer      string
	attempt   string
	body      io.ReadCloser
	frames    *FrameReader
	done      bool
	closeOnce sync.Once
}

func newStream(ctx context.Context, cancel context.CancelFunc, peer, attempt string, body io.ReadCloser) *clientStream {
	return &clientStream{
		ctx:     ctx,
		cancel:  cancel,
		peer:    peer,
		attempt: attempt,
		body:    body,
		frames:  NewFrameReader(body),
	}
}

// Next waits for the next frame. After the last one it returns io.EOF. If the connection
// ends before the last frame, it returns an error that wraps io.ErrUnexpectedEOF. Next is
// not safe for concurrent use.
func (s *clientStream) Next(ctx context.Context) (Frame, error) {
	if s.done {
		return Frame{}, io.EOF
	}
	if ctx.Done() != nil && ctx != s.ctx {
		stop := context.AfterFunc(ctx, s.cancel)
		defer stop()
	}
	frame, err := s.frames.Next()
	if err != nil {
		return Frame{}, s.wrapError(ctx, err)
	}
	s.done = frame.Last
	return frame, nil
}

func (s *clientStream) wrapError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("decode: peer %s: attempt %s: %w", s.peer, s.attempt, err)
}

// Close closes the connection.
func (s *clientStream) Close() error {
	s.closeOnce.Do(func() {
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}

// FrameReader decodes frames from a stream of server-sent events.
type FrameReader struct{ reader *bufio.Reader }

// NewFrameReader returns a FrameReader that reads from r.
func NewFrameReader(r io.Reader) *FrameReader {
	return &FrameReader{reader: bufio.NewReaderSize(r, frameBufferBytes)}
}

// Next returns the next frame, io.EOF at the end of the input, or ErrFrameTooLong if a
// line exceeds maxFrameBytes. It skips comments and fields other than data.
func (r *FrameReader) Next() (Frame, error) {
	for {
		line, err := r.readLine()
		if err != nil {
			return Frame{}, err
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		return decodeFrame(data)
	}
}

// readLine returns the next line without its line ending, or ErrFrameTooLong if it exceeds
// maxFrameBytes.
func (r *FrameReader) readLine() ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.reader.ReadSlice('\n')
		if err == nil && line == nil {
			return bytes.TrimRight(chunk, "\r\n"), nil
		}
		line = append(line, chunk...)
		if len(line) > maxFrameBytes {
			return nil, ErrFrameTooLong
		}
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func decodeFrame(data []byte) (Frame, error) {
	var frame Frame
	if err := json.Unmarshal(data, &frame); err != nil {
		return Frame{}, fmt.Errorf("frame: %w", err)
	}
	if frame.Attempt == "" || frame.Index < 0 {
		return Frame{}, errors.New("frame: attempt and index are required")
	}
	return frame, nil
}

var _ Stream = (*clientStream)(nil)
