// Package hibiscusstandin contains small stand-ins for the systems around the dispatcher: the platform's table service and object
// store, an endpoint, and an in-memory network. The demo and the tests use them; production does not.
package hibiscusstandin
