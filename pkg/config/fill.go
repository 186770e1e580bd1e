package config

// SetDefault sets a setting to its default if the file left it unset.
func SetDefault[T comparable](setting *T, defaultValue T) {
	var zero T
	if *setting == zero {
		*setting = defaultValue
	}
}
