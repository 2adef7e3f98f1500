// Package hibiscuswire holds the generated protobuf code of the frames between the system's processes.
//
// The generated code is committed, so that a build needs no generator. To regenerate it after a change of frame.proto, run
// buf generate in this folder, with protoc-gen-go on the path.
package hibiscuswire
