// Package hibiscustransport moves bytes: sessions between the system's processes over yamux, with a shared-key handshake
// and detection of silent connections, HTTP servers, and the event bus.
//
// It is the top one of the four layers and gives meaning to nothing: frames and bodies belong to hibiscusprotocol.
package hibiscustransport
