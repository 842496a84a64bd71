// Package reach tells from connections to backend servers which failure domains of
// servers a VM can reach, and whether new connections, open ones, or both are lost.
package reach
