// Package entry joins the HTTP faces of a VM on one listener: callers, backend
// servers and operators.
package entry
