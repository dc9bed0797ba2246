import assert from 'node:assert/strict';
import { test } from 'node:test';
import { emptyConfiguration, type Configuration } from '@hornbeampond/schema';
import { ConfigurationFollower } from './ConfigurationFollower.js';

function makeConfiguration(revision: number): Configuration {
  return { ...emptyConfiguration, revision };
}

// An entry loses its store and moves to one that has just come back and is behind. What that store
// holds is older than what the entry has in force, and so are the changes it catches up with.
test('what an older store sends is dropped until it has caught up', () => {
  const follower = new ConfigurationFollower();
  assert.equal(follower.applyConfiguration(makeConfiguration(5)), 'newer');
  assert.equal(follower.applyConfiguration(makeConfiguration(3)), 'old');
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 3, toRevision: 4 }), 'old');
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 4, toRevision: 5 }), 'old');
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 5, toRevision: 6 }), 'newer');
  assert.equal(follower.newest?.revision, 6);
});

// A push is missed, or a store takes over a snapshot and jumps. Applying the next delta to what is
// held would leave out rows, so nothing is taken and the whole is asked for.
test('a delta that does not join is a gap and changes nothing', () => {
  const follower = new ConfigurationFollower();
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 0, toRevision: 1 }), 'gap');
  follower.applyConfiguration(makeConfiguration(5));
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 6, toRevision: 7 }), 'gap');
  assert.equal(follower.applyConfigurationDelta({ fromRevision: 4, toRevision: 6 }), 'gap');
  assert.equal(follower.newest?.revision, 5);
});
