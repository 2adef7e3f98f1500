// Package hibiscusprotocol turns bytes into calls of the coordination layer and back: protobuf frames between the
// system's processes, the HTTP interfaces with their JSON, the operators' YAML text, and the requests to the table service.
//
// It is the third of the four layers and imports hibiscuscoordination and hibiscusstate. Sockets belong to the transport
// layer above it.
package hibiscusprotocol
