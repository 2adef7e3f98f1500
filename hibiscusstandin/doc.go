// Package hibiscusstandin holds small stand-ins for what surrounds the dispatcher: the platform's table service and object
// store, an endpoint, and a network in memory. The demo and the tests use them; production does not.
package hibiscusstandin
