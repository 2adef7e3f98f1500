package hibiscustransport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Before anything else, both ends of a connection prove that they hold the shared key: each sends a random nonce, and then
// the HMAC of both nonces under its own label. The labels differ, so that an answer can't be sent back to its maker.

const (
	nonceBytes       = 32
	handshakeTimeout = time.Second
	dialerLabel      = "hibiscusrouter dialer 1"
	listenerLabel    = "hibiscusrouter listener 1"
)

// handshake proves the shared key to the other end and checks that the other end holds it; it returns ErrHandshake.
func handshake(conn net.Conn, secret []byte, dialer bool) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Mark(errors.Wrap(err, "set handshake deadline"), ErrHandshake)
	}
	own, other := dialerLabel, listenerLabel
	if !dialer {
		own, other = listenerLabel, dialerLabel
	}
	nonces, err := exchangeNonces(conn, dialer)
	if err != nil {
		return err
	}
	proof, err := exchange(conn, proofMAC(secret, own, nonces), sha256.Size)
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, proofMAC(secret, other, nonces)) {
		return errors.Mark(errors.New("the other end does not hold the shared key"), ErrHandshake)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return errors.Mark(errors.Wrap(err, "clear handshake deadline"), ErrHandshake)
	}
	return nil
}

// exchangeNonces returns the nonces of both ends, the dialer's first.
func exchangeNonces(conn net.Conn, dialer bool) ([]byte, error) {
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "make a nonce"), ErrHandshake)
	}
	other, err := exchange(conn, own, nonceBytes)
	if err != nil {
		return nil, err
	}
	if dialer {
		return append(own, other...), nil
	}
	return append(other, own...), nil
}

// exchange sends out while it reads n bytes, so that two ends that both send first don't wait for each other.
func exchange(conn net.Conn, out []byte, n int) ([]byte, error) {
	sent := make(chan error, 1)
	go func() {
		_, err := conn.Write(out)
		sent <- err
	}()
	in := make([]byte, n)
	_, readErr := io.ReadFull(conn, in)
	if readErr != nil {
		conn.Close()
	}
	if err := errors.CombineErrors(readErr, <-sent); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "exchange proofs"), ErrHandshake)
	}
	return in, nil
}

func proofMAC(secret []byte, label string, nonces []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(label))
	h.Write(nonces)
	return h.Sum(nil)
}
