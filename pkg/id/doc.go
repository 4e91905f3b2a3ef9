// Package id defines the identifiers used by shallotpier: names of services,
// request classes, backend servers, entry instances, availability zones, regions
// and organisations, and the monotonically increasing numbers of configuration versions,
// lease terms and process incarnations.
//
// Every identifier is a distinct type, so that a zone can't be passed in place
// of a region. Names are validated when they are decoded: like a DNS label, a
// name consists of 1 to 63 lowercase letters, digits and hyphens and neither
// starts nor ends with a hyphen. It is therefore safe in a URL path, a header, a
// log line and a store key.
//
// # Usage
//
//	var z id.Zone
//	if err := z.UnmarshalText([]byte("tbilisi-core-1")); err != nil {
//		return err
//	}
package id
