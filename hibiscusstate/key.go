package hibiscusstate

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"strconv"
	"strings"
	"sync"
)

// A submission key names the entry incarnation that holds the job's record. Only that incarnation ever starts tasks under
// the key, which is what makes at-most-once hold without a durable write: another entry forwards or recovers, but never
// starts anything.

const (
	keyPrefix   = "hr1"
	keyMACBytes = 8

	// keyWindow is the number of the latest issued keys of which an incarnation remembers whether they were used.
	keyWindow = 1 << 22
)

// Incarnation is a random number that names one run of one process.
type Incarnation uint64

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// SubmissionKey names one submission: the incarnation that issued it and a sequence number.
type SubmissionKey struct {
	incarnation Incarnation
	sequence    uint64
}

// NewSubmissionKey returns the key with the given parts.
func NewSubmissionKey(incarnation Incarnation, sequence uint64) SubmissionKey {
	return SubmissionKey{incarnation: incarnation, sequence: sequence}
}

// Incarnation returns the entry incarnation that holds the record of the submission.
func (k SubmissionKey) Incarnation() Incarnation { return k.incarnation }

// Sequence returns the number of the key within its incarnation.
func (k SubmissionKey) Sequence() uint64 { return k.sequence }

// TaskID names one task of a submission.
type TaskID struct {
	key   SubmissionKey
	index int
}

// NewTaskID returns the id of the task at index in the submission of key.
func NewTaskID(key SubmissionKey, index int) TaskID { return TaskID{key: key, index: index} }

// Key returns the submission key of the task.
func (t TaskID) Key() SubmissionKey { return t.key }

// Index returns the position of the task in its job, from zero.
func (t TaskID) Index() int { return t.index }

// TaskAttempt is one try of an entry to have a task taken by an agent. A task gets another try only after the one before is
// known not to have started, and reports of earlier tries are ignored.
type TaskAttempt struct {
	id     TaskID
	number int
}

// NewTaskAttempt returns the try of a task with the given number, from zero.
func NewTaskAttempt(id TaskID, number int) TaskAttempt { return TaskAttempt{id: id, number: number} }

// ID returns the id of the task.
func (t TaskAttempt) ID() TaskID { return t.id }

// Number returns how many tries came before this one.
func (t TaskAttempt) Number() int { return t.number }

// KeySigner turns submission keys into texts that callers can't forge, and back.
type KeySigner struct {
	macs sync.Pool
}

// NewKeySigner returns a signer; all entries of a deployment share the secret.
func NewKeySigner(secret []byte) *KeySigner {
	return &KeySigner{macs: sync.Pool{New: func() any { return hmac.New(sha256.New, secret) }}}
}

// Format returns the text form of k, hr1-INCARNATION-SEQUENCE-MAC.
func (s *KeySigner) Format(k SubmissionKey) string {
	text := make([]byte, 0, 64)
	text = append(text, keyPrefix+"-"...)
	text = append(text, k.incarnation.String()...)
	text = append(text, '-')
	text = strconv.AppendUint(text, k.sequence, 16)
	text = append(text, '-')
	return string(hex.AppendEncode(text, s.mac(k)))
}

// Parse returns the key of a text form, or ErrBadKey.
func (s *KeySigner) Parse(text string) (SubmissionKey, error) {
	parts := strings.Split(text, "-")
	if len(parts) != 4 || parts[0] != keyPrefix {
		return SubmissionKey{}, ErrBadKey
	}
	incarnation, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return SubmissionKey{}, ErrBadKey
	}
	sequence, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return SubmissionKey{}, ErrBadKey
	}
	k := NewSubmissionKey(Incarnation(incarnation), sequence)
	mac, err := hex.DecodeString(parts[3])
	if err != nil || !hmac.Equal(mac, s.mac(k)) {
		return SubmissionKey{}, ErrBadKey
	}
	return k, nil
}

func (s *KeySigner) mac(k SubmissionKey) []byte {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(k.incarnation))
	binary.BigEndian.PutUint64(b[8:], k.sequence)
	// Setting up the HMAC hashes two blocks of the key; a used one keeps their state.
	h := s.macs.Get().(hash.Hash)
	defer s.macs.Put(h)
	h.Reset()
	h.Write(b[:])
	return h.Sum(nil)[:keyMACBytes]
}

// KeyWindow issues sequence numbers and remembers which of the latest ones were used.
type KeyWindow struct {
	next uint64
	used []uint64
}

// NewKeyWindow returns a window that has issued nothing.
func NewKeyWindow() *KeyWindow { return &KeyWindow{used: make([]uint64, keyWindow/64)} }

// Issue returns the next unused sequence number.
func (w *KeyWindow) Issue() uint64 {
	sequence := w.next
	w.next++
	w.used[w.word(sequence)] &^= w.bit(sequence)
	return sequence
}

// Used says whether a sequence number was used; it returns ErrKeyNotIssued for a number that was never issued, and
// ErrKeyExpired for one that left the window.
func (w *KeyWindow) Used(sequence uint64) (bool, error) {
	if sequence >= w.next {
		return false, ErrKeyNotIssued
	}
	if w.next-sequence > keyWindow {
		return false, ErrKeyExpired
	}
	return w.used[w.word(sequence)]&w.bit(sequence) != 0, nil
}

// MarkUsed records the use of a sequence number that Used accepts.
func (w *KeyWindow) MarkUsed(sequence uint64) { w.used[w.word(sequence)] |= w.bit(sequence) }

func (w *KeyWindow) word(sequence uint64) uint64 { return sequence % keyWindow / 64 }

func (w *KeyWindow) bit(sequence uint64) uint64 { return 1 << (sequence % 64) }
