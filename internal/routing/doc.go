// Package routing keeps the backend servers of one service in one failure
// domain and chooses the server for each request. Slots are counted exactly:
// one owner VM per service and failure domain grants them all.
package routing
