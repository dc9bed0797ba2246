/**
 * What each settings key is for, by its path. The generator refuses a key that has no line here
 * and a line that has no key, so that the list cannot drift from the schemas.
 */

const keySha256Meaning =
  'SHA-256 of the key, in lower-case hexadecimal digits; the key is kept nowhere';

function describeAddressKeys(key: string, owner: string): Record<string, string> {
  return {
    [`${key}[].instance`]: `name of ${owner}`,
    [`${key}[].dataCentre`]: 'its data centre',
    [`${key}[].host`]: 'its IP number',
    [`${key}[].port`]: 'its port for processes of the cluster',
  };
}

function describeListenKeys(key: string, clients: string): Record<string, string> {
  return {
    [`${key}.host`]: `IP number on which ${clients} connect`,
    [`${key}.port`]: `port on which ${clients} connect; 0 takes any free one`,
  };
}

const commonMeanings = {
  instance: 'name of this instance, unique in the cluster',
  dataCentre: 'data centre of this instance',
  cluster: 'name of the cluster; a peer of another is refused',
  clusterSecret: 'secret that all processes of the cluster share',
  logLevel: 'least level of the lines that are logged',
  ...describeListenKeys('operatorListen', 'operators'),
  'operatorKeys[].name': 'name of an operator',
  'operatorKeys[].keySha256': keySha256Meaning,
  ...describeAddressKeys('stores', 'a store that is known from the start'),
  peerHeartbeatMilliseconds:
    'pause between two heartbeats to another process; after four without an answer it is lost',
};

const platformMeanings = {
  'platform.url': 'base address of the platform’s API',
  'platform.pollMilliseconds': 'pause between two readings of the list of instances',
};

export const storeMeanings: Readonly<Record<string, string>> = {
  ...commonMeanings,
  ...describeListenKeys('listen', 'stores, entries and controllers'),
  dataFolder: 'the one folder that holds all files of this store',
  electionTimeoutMilliseconds: 'a store that hears no leader for so long stands for election',
  heartbeatMilliseconds: 'pause between two messages of an idle leader',
  leastVoters:
    'changes of tables are taken only while so many stores vote; while fewer are heard of, no silent one is taken out',
  silentStoreMilliseconds:
    'a store that the leader has not heard of for so long is taken out; 0: never; it is let in again when it comes back',
};

export const entryMeanings: Readonly<Record<string, string>> = {
  ...commonMeanings,
  ...describeListenKeys('listen', 'callers'),
  ...describeListenKeys('peerListen', 'other entries'),
  ...describeAddressKeys('entries', 'another entry'),
  'workspaces[].name': 'name of a workspace, as the routes table has it',
  'workspaces[].keySha256': keySha256Meaning,
  ...platformMeanings,
  'limits.bodyBytes': 'largest body of a request',
  'limits.headerBytes': 'largest head of a request',
  'limits.answerBytes': 'largest answer that is held: generated text, or a claimed call’s answer',
  'limits.queuedRequests': 'most accepted requests that wait for a backend server',
  balancerDelayMilliseconds: 'how long new requests are still taken after `/readyz` has turned',
  shutdownMilliseconds: 'the platform ends an instance this long after `SIGTERM`',
};

export const controllerMeanings: Readonly<Record<string, string>> = {
  ...commonMeanings,
  ...describeListenKeys('peerListen', 'other controllers'),
  ...describeAddressKeys('controllers', 'another controller'),
  ...describeAddressKeys('entries', 'an entry, which tells of demand and is told of drains'),
  'weightStore.url': 'base address of the weight store’s API',
  ...platformMeanings,
  leaseMilliseconds: 'how long the lease of a data centre lasts if it is not renewed',
};
