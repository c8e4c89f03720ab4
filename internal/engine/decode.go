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

// tokenStream reads the JSON lines of a decode.
type tokenStream struct {
	client *HTTP
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	idle   *time.Timer
	body   io.ReadCloser
	lines  *bufio.Scanner
	ended  bool
}

// Decode implements Client.
func (c *HTTP) Decode(ctx context.Context, r DecodeRequest) (TokenStream, error) {
	call, cancel := context.WithCancelCause(ctx)
	idle := time.AfterFunc(IdleTimeout, func() { cancel(ErrTimeout) })
	s := &tokenStream{client: c, parent: ctx, ctx: call, cancel: cancel, idle: idle}
	resp, err := c.send(call, c.work, http.MethodPost, "/v1/decode", r)
	if err != nil {
		err = s.classify(err)
		s.stop()
		return nil, err
	}
	s.body = resp.Body
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
		_ = s.Close()
		return nil, apiError(resp.StatusCode, body)
	}
	s.lines = bufio.NewScanner(resp.Body)
	s.lines.Buffer(nil, maxLineBytes)
	return s, nil
}

// Next implements TokenStream.
func (s *tokenStream) Next() (Token, error) {
	if s.ended {
		return Token{}, io.EOF
	}
	if !s.lines.Scan() {
		if err := s.lines.Err(); err != nil {
			return Token{}, s.classify(err)
		}
		return Token{}, s.classify(io.ErrUnexpectedEOF)
	}
	s.idle.Reset(IdleTimeout)
	var line struct {
		Token
		errorBody
	}
	if err := json.Unmarshal(s.lines.Bytes(), &line); err != nil {
		return Token{}, errors.Wrap(err, "decode a line of the engine's output")
	}
	if line.Error != nil {
		return Token{}, line.toError(http.StatusOK)
	}
	s.ended = line.FinishReason != ""
	return line.Token, nil
}

func (s *tokenStream) classify(err error) error {
	if errors.Is(context.Cause(s.ctx), ErrTimeout) && s.parent.Err() == nil {
		s.client.Close()
		return errors.Wrap(ErrTimeout, "/v1/decode")
	}
	return s.client.classify(s.parent, s.ctx, err, "/v1/decode")
}

func (s *tokenStream) stop() {
	s.idle.Stop()
	s.cancel(context.Canceled)
}

// Close implements TokenStream. The connection of a stream that was read to its
// last line is left to the next call once the engine has ended the answer.
func (s *tokenStream) Close() error {
	if s.ended {
		go s.drain()
		return nil
	}
	s.stop()
	return s.body.Close()
}

func (s *tokenStream) drain() {
	_, _ = io.CopyN(io.Discard, s.body, 1)
	s.stop()
	_ = s.body.Close()
}
