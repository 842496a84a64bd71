// Package tcp asks the kernel about TCP connections what package net does not tell.
package tcp
