// Package account defines client accounts: their keys, priorities and quotas.
//
// A Directory is immutable. Requests look their account up by the digest of their key,
// so that no key is kept in memory longer than its request, and none can appear in a log
// or a state dump.
package account

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// KeyDigest is the SHA-256 hash of a key.
type KeyDigest [sha256.Size]byte

// Digest returns the digest of a key.
func Digest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// ParseDigest reads a digest in hexadecimal.
func ParseDigest(text string) (KeyDigest, error) {
	b, err := hex.DecodeString(text)
	if err != nil {
		return KeyDigest{}, errors.Wrap(err, "digest of a key")
	}
	if len(b) != sha256.Size {
		return KeyDigest{}, errors.Errorf("digest of a key has %d bytes; want %d", len(b), sha256.Size)
	}
	return KeyDigest(b), nil
}

// Index finds the owner of a key. The lookup compares digests, so that its duration
// reveals nothing about a key. The zero value is empty; an Index is safe for concurrent
// use once all keys have been added.
type Index[T any] struct {
	owners map[KeyDigest]T
}

// Add makes owner the owner of the key, unless the key has one. It returns the owner that
// the key had before; taken is false if there was none.
func (i *Index[T]) Add(key KeyDigest, owner T) (other T, taken bool) {
	if i.owners == nil {
		i.owners = make(map[KeyDigest]T)
	}
	if other, taken = i.owners[key]; taken {
		return other, true
	}
	i.owners[key] = owner
	return other, false
}

// Find returns the owner of the key.
func (i *Index[T]) Find(key KeyDigest) (T, bool) {
	owner, ok := i.owners[key]
	return owner, ok
}

// Len returns the number of keys.
func (i *Index[T]) Len() int { return len(i.owners) }
