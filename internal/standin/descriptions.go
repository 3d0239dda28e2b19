package standin

import "go.etcd.io/bbolt"

// DescriptionStore stores task descriptions in the same database as the other records. It
// implements taskspec.Store and is safe for concurrent use.
type DescriptionStore struct{ DB *bbolt.DB }

// Put stores a description under a name. If the name has one already, it stores nothing and
// returns the existing one.
func (d DescriptionStore) Put(name string, data []byte) (existing []byte, err error) {
	err = d.DB.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(descriptionsBucket)
		if err != nil {
			return err
		}
		if stored := bucket.Get([]byte(name)); stored != nil {
			existing = append([]byte(nil), stored...) // valid only in the transaction
			return nil
		}
		return bucket.Put([]byte(name), data)
	})
	return existing, err
}

// Get returns the description stored under a name, or nil if there is none.
func (d DescriptionStore) Get(name string) (data []byte, err error) {
	err = d.DB.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(descriptionsBucket)
		if bucket == nil {
			return nil // nothing was stored yet
		}
		if stored := bucket.Get([]byte(name)); stored != nil {
			data = append([]byte(nil), stored...) // valid only in the transaction
		}
		return nil
	})
	return data, err
}
