// Package placing chooses the backend server of a request at the entry that took
// it, among the servers of all failure domains.
//
// It answers loads in which a request runs several times faster on a server that
// handled the same object lately: each object has an order of servers that all
// entries agree on, so that its requests meet on the first of them, and go to
// the next ones only as far as the first is loaded. Without that, offered work
// exceeds all slots although warm work needs half of them.
package placing
