// Package hibiscustransport transfers bytes: sessions between the system's processes over yamux, with a shared-key handshake and
// detection of unresponsive connections, HTTP servers and clients, the log writer and the event bus.
//
// It is the top one of the four layers and interprets no content: frames and bodies are defined by hibiscusprotocol.
package hibiscustransport
