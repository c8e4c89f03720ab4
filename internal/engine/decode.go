package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// tokenStream implements TokenStream over the newline-delimited JSON response
// of POST /v1/decode.
type tokenStream struct {
	client    *HTTPClient
	parent    context.Context
	ctx       context.Context
	cancel    context.CancelCauseFunc
	idleTimer *time.Timer
	body      io.ReadCloser
	lines     *bufio.Scanner
	finished  bool
}

// Decode implements Client. The call has no overall timeout; DecodeIdleTimeout
// bounds the wait for the response and for each line.
func (c *HTTPClient) Decode(ctx context.Context, r DecodeRequest) (TokenStream, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	idle := time.AfterFunc(DecodeIdleTimeout, func() { cancel(ErrTimeout) })
	s := &tokenStream{client: c, parent: ctx, ctx: callCtx, cancel: cancel, idleTimer: idle}
	resp, err := c.send(callCtx, c.longCalls, http.MethodPost, "/v1/decode", r)
	if err != nil {
		err = s.classifyError(err)
		s.stop()
		return nil, err
	}
	s.body = resp.Body
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
		_ = s.Close()
		return nil, parseAPIError(resp.StatusCode, body)
	}
	s.lines = bufio.NewScanner(resp.Body)
	s.lines.Buffer(nil, maxLineBytes)
	return s, nil
}

// Next implements TokenStream.
func (s *tokenStream) Next() (Token, error) {
	if s.finished {
		return Token{}, io.EOF
	}
	if !s.lines.Scan() {
		if err := s.lines.Err(); err != nil {
			return Token{}, s.classifyError(err)
		}
		return Token{}, s.classifyError(io.ErrUnexpectedEOF)
	}
	s.idleTimer.Reset(DecodeIdleTimeout)
	var line struct {
		Token
		errorBody
	}
	if err := json.Unmarshal(s.lines.Bytes(), &line); err != nil {
		return Token{}, errors.Wrap(err, "parse a line of the response to /v1/decode")
	}
	if line.Error != nil {
		return Token{}, line.toError(http.StatusOK)
	}
	s.finished = line.FinishReason != ""
	return line.Token, nil
}

// classifyError returns ErrTimeout when the idle timer ended the stream, and
// otherwise classifies err as the client does for its other calls.
func (s *tokenStream) classifyError(err error) error {
	if errors.Is(context.Cause(s.ctx), ErrTimeout) && s.parent.Err() == nil {
		s.client.Close()
		return errors.Wrap(ErrTimeout, "/v1/decode")
	}
	return s.client.classifyError(s.parent, s.ctx, err, "/v1/decode")
}

// stop releases the idle timer and cancels the HTTP request.
func (s *tokenStream) stop() {
	s.idleTimer.Stop()
	s.cancel(context.Canceled)
}

// Close implements TokenStream. When the stream was read to its last line, the
// connection is reused after the engine has ended the response; otherwise it is
// closed.
func (s *tokenStream) Close() error {
	if s.finished {
		go s.drain()
		return nil
	}
	s.stop()
	return s.body.Close()
}

// drain waits for the end of the response body, so that the transport returns
// the connection to its pool.
func (s *tokenStream) drain() {
	_, _ = io.CopyN(io.Discard, s.body, 1)
	s.stop()
	_ = s.body.Close()
}
