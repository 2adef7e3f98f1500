// Package hibiscusprotocol translates between bytes and calls of the coordination layer: protobuf frames between the
// system's processes, HTTP interfaces with JSON bodies, the operators' YAML configuration, and requests to the table service.
//
// It is the third of the four layers and imports hibiscuscoordination and hibiscusstate. The transport layer above it owns
// the sockets.
package hibiscusprotocol
