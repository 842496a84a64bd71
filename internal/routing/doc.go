// Package routing keeps the backend servers of one service in one failure
// domain and chooses the server for each request. Slots are counted exactly,
// because one owner VM per service and failure domain grants all of them.
package routing
