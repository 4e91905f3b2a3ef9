// Package id names the things that shallotpier steers: services, request
// classes, backend servers, entry instances, availability zones and regions,
// and numbers the states that only move forward: configuration versions,
// lease terms and process incarnations.
//
// Every name is a distinct type, so that a zone can't be passed where a
// region is meant. Names check themselves when they are decoded: they hold
// 1 to 63 lowercase letters, digits and inner hyphens, as a DNS label does,
// so that they are safe in a URL path, a header, a log line and a store key.
//
// # Usage
//
//	var z id.Zone
//	if err := z.UnmarshalText([]byte("tbilisi-core-1")); err != nil {
//		return err
//	}
package id
