/**
 * Schemas of the settings files of entries, stores and controllers. Names of keys contain the unit
 * where there is one, and numbers have a minimum and a maximum.
 */
import * as z from 'zod';
import { logLevels } from '../logEvents/LogEventDefinition.js';
import { nameSchema } from '../tables/routes.js';

const hostSchema = z.union([z.ipv4(), z.ipv6()], 'must be an IP address');
const portSchema = z.number().int().min(0).max(65_535);
const millisecondsSchema = (min: number, max: number) => z.number().int().min(min).max(max);

/** An address to listen on; port 0 selects any free port. */
export const listenSchema = z.strictObject({ host: hostSchema, port: portSchema });

/** Address of a store, entry or controller for its peers and clients. */
export const processAddressSchema = z.strictObject({
  instance: nameSchema,
  dataCentre: nameSchema,
  host: hostSchema,
  port: portSchema.min(1),
});

/** Keys with which operators may read and change tables. */
const operatorKeysSchema = z
  .array(z.strictObject({ name: nameSchema, keySha256: z.string().regex(/^[0-9a-f]{64}$/) }))
  .max(1000)
  .default([]);

const commonShape = {
  /** Name of this instance, unique in the cluster. */
  instance: nameSchema,
  dataCentre: nameSchema,
  /** Name of the cluster; peers of other clusters are refused. */
  cluster: nameSchema,
  /** Secret that all processes of the cluster share, at least 16 characters. */
  clusterSecret: z.string().min(16).max(512),
  logLevel: z.enum(logLevels).default('info'),
  /** Address for operators: `/status`, `/metrics`, `/livez`, `/readyz`. */
  operatorListen: listenSchema,
  operatorKeys: operatorKeysSchema,
  /** Initially known stores. */
  stores: z.array(processAddressSchema).min(1).max(16),
  /**
   * Interval of heartbeats on connections between processes; a connection that receives no data for
   * more than four intervals is closed.
   */
  peerHeartbeatMilliseconds: millisecondsSchema(50, 60_000).default(1000),
};

const platformSchema = z.strictObject({
  /** Base address of the platform's API. */
  url: z.url({ protocol: /^https?$/ }),
  pollMilliseconds: millisecondsSchema(50, 60_000).default(1000),
  /** How much older the list may be than the moment in which it is asked for. */
  listLagMilliseconds: millisecondsSchema(0, 60_000).default(0),
});

export const workspaceSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of the key, in lower-case hexadecimal digits; the key itself is not stored. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
});

export const storeSettingsSchema = z.strictObject({
  ...commonShape,
  /** Address for other stores, entries and controllers. */
  listen: listenSchema,
  /** Folder of all files of this store. */
  dataFolder: z.string().min(1),
  electionTimeoutMilliseconds: millisecondsSchema(50, 60_000).default(1000),
  heartbeatMilliseconds: millisecondsSchema(10, 10_000).default(150),
  /**
   * A store from which the leader has received no response for this long is removed from the
   * cluster; 0 disables removal. A removed store can join again.
   */
  silentStoreMilliseconds: millisecondsSchema(0, 86_400_000).default(10_000),
  /**
   * Changes of tables are accepted only if at least this many stores are voters. An unreachable
   * voter is removed only while at least this many voters, and at least 3, are reachable.
   */
  leastVoters: z.number().int().min(1).max(16).default(1),
});

export const entrySettingsSchema = z.strictObject({
  ...commonShape,
  /** Address for callers. */
  listen: listenSchema,
  /** Address for other entries and controllers. */
  peerListen: listenSchema,
  /**
   * Address at which other entries reach backend servers through this one, if they cannot themselves;
   * without it they cannot.
   */
  tunnelListen: listenSchema.optional(),
  entries: z.array(processAddressSchema).max(1000).default([]),
  workspaces: z.array(workspaceSchema).min(1).max(10_000),
  platform: platformSchema,
  limits: z
    .strictObject({
      bodyBytes: z
        .number()
        .int()
        .min(1024)
        .max(256 * 1024 * 1024)
        .default(4 * 1024 * 1024),
      headerBytes: z
        .number()
        .int()
        .min(1024)
        .max(1024 * 1024)
        .default(16 * 1024),
      answerBytes: z
        .number()
        .int()
        .min(1024)
        .max(1024 * 1024 * 1024)
        .default(64 * 1024 * 1024),
      queuedRequests: z.number().int().min(1).max(1_000_000).default(2000),
      /** Callers may make the process hold a part of it. */
      memoryMegabytes: z.number().int().min(64).max(1_000_000).default(350),
      /** Callers get a part of them. */
      descriptors: z.number().int().min(64).max(10_000_000).default(4096),
    })
    .prefault({}),
  /** How long the load balancer may send requests after `/readyz` reports not ready. */
  balancerDelayMilliseconds: millisecondsSchema(0, 60_000).default(2000),
  /** Time after `SIGTERM` at which the platform ends the instance. */
  shutdownMilliseconds: millisecondsSchema(100, 600_000).default(30_000),
});

export const controllerSettingsSchema = z.strictObject({
  ...commonShape,
  /** Address for other controllers. */
  peerListen: listenSchema,
  controllers: z.array(processAddressSchema).max(1000).default([]),
  /** All entries; they report demand to the controller and receive its list of drained servers. */
  entries: z.array(processAddressSchema).max(1000).default([]),
  weightStore: z.strictObject({ url: z.url({ protocol: /^https?$/ }) }).optional(),
  platform: platformSchema,
  leaseMilliseconds: millisecondsSchema(500, 600_000).default(5000),
});

export type OperatorKey = z.infer<typeof operatorKeysSchema>[number];
export type ListenAddress = z.infer<typeof listenSchema>;
export type ProcessAddress = z.infer<typeof processAddressSchema>;
export type StoreSettings = z.infer<typeof storeSettingsSchema>;
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type ControllerSettings = z.infer<typeof controllerSettingsSchema>;
export type Workspace = z.infer<typeof workspaceSchema>;
