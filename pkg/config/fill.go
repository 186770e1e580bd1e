package config

// Fill sets a setting to its default when the file left it out.
func Fill[T comparable](setting *T, otherwise T) {
	var zero T
	if *setting == zero {
		*setting = otherwise
	}
}
