// Package organisation holds the organisations of a configuration, to which callers belong
// by the keys that they send.
//
// A key itself is never kept: it is hashed when it is decoded ([HashKey]), and a [Table]
// finds the organisation of a request by the hash. Logs and operators see the
// [Fingerprint] of a key only.
//
// An organisation with a value out of range is left out of its table, and so is a key that
// two organisations hold; both are listed as a [Problem]. The other organisations are not
// affected.
//
// # Usage
//
//	hash, err := organisation.HashKey(key)
//	table := organisation.NewTable([]*organisation.Organisation{
//		{Name: "customs", Keys: []organisation.KeyHash{hash}, Regions: []id.Region{"fyn"}},
//	}, nil)
//	key, problem := organisation.BearerKey(request.Header["Authorization"])
//	o, ok := table.Lookup(key)
package organisation
