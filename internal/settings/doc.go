// Package settings reads and checks the settings file of one VM.
package settings
