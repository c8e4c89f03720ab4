package profile

import "maps"

// Clone returns a copy that shares nothing with s.
func (s *Service) Clone() *Service {
	c := *s
	c.peers = maps.Clone(s.peers)
	return &c
}

// Clone returns a copy that shares nothing with e.
func (e *Engine) Clone() Engine {
	c := *e
	c.peers = maps.Clone(e.peers)
	return c
}
