package main

import "os"

// selfPath returns the path of this program.
func selfPath() string {
	path, err := os.Executable()
	if err != nil {
		cantRun("%v", err)
	}
	return path
}
