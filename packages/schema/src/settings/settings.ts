/**
 * Settings of the binaries, one TOML file each, checked whole at start. Every key has its unit
 * in its name or in its comment, a bound, and a default where one is safe.
 */
import * as z from 'zod';
import { logLevels } from '../logEvents/LogEventDefinition.js';
import { nameSchema } from '../tables/routes.js';

const hostSchema = z.union([z.ipv4(), z.ipv6()], 'must be an IP number');
const portSchema = z.number().int().min(0).max(65_535);
const millisecondsSchema = (min: number, max: number) => z.number().int().min(min).max(max);

/** An address to listen on; port 0 takes any free one. */
export const listenSchema = z.strictObject({ host: hostSchema, port: portSchema });

/** A store as clients and peers reach it. */
export const storeAddressSchema = z.strictObject({
  instance: nameSchema,
  dataCentre: nameSchema,
  host: hostSchema,
  port: portSchema.min(1),
});

/** Keys by which operators may read and change tables. */
const operatorKeysSchema = z
  .array(z.strictObject({ name: nameSchema, keySha256: z.string().regex(/^[0-9a-f]{64}$/) }))
  .max(1000)
  .default([]);

const commonShape = {
  /** Name of this instance, unique in the cluster. */
  instance: nameSchema,
  dataCentre: nameSchema,
  /** Name of the cluster; a peer of another is refused. */
  cluster: nameSchema,
  /** Secret that all processes of the cluster share, at least 16 characters. */
  clusterSecret: z.string().min(16).max(512),
  logLevel: z.enum(logLevels).default('info'),
  /** Where operators reach `/status`, `/metrics`, `/livez`, `/readyz`. */
  operatorListen: listenSchema,
  operatorKeys: operatorKeysSchema,
  /** The stores that are known from the start. */
  stores: z.array(storeAddressSchema).min(1).max(16),
  /** Interval of heartbeats between processes; a connection silent for four of them is dropped. */
  peerHeartbeatMilliseconds: millisecondsSchema(50, 60_000).default(1000),
};

const platformSchema = z.strictObject({
  /** Base address of the platform's API. */
  url: z.url({ protocol: /^https?$/ }),
  pollMilliseconds: millisecondsSchema(50, 60_000).default(1000),
});

export const workspaceSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of the key, in lower-case hexadecimal digits; the key itself is kept nowhere. */
  keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
});

export const storeSettingsSchema = z.strictObject({
  ...commonShape,
  /** Where peers, entries and controllers connect. */
  listen: listenSchema,
  /** The one folder that holds all files of this store. */
  dataFolder: z.string().min(1),
  electionTimeoutMilliseconds: millisecondsSchema(50, 60_000).default(1000),
  heartbeatMilliseconds: millisecondsSchema(10, 10_000).default(150),
  /**
   * A store that the leader has not heard of for so long is taken out; 0: never. It is let in again
   * when it comes back.
   */
  silentStoreMilliseconds: millisecondsSchema(0, 86_400_000).default(10_000),
  /** Changes of tables are taken only while so many stores vote; no silent one is taken out below. */
  leastVoters: z.number().int().min(1).max(16).default(1),
});

export const entrySettingsSchema = z.strictObject({
  ...commonShape,
  /** Where callers connect. */
  listen: listenSchema,
  /** Where other entries connect. */
  peerListen: listenSchema,
  /** The other entries. */
  entries: z.array(storeAddressSchema).max(1000).default([]),
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
    })
    .prefault({}),
  /** How long the balancer may still send callers after `/readyz` has turned. */
  balancerDelayMilliseconds: millisecondsSchema(0, 60_000).default(2000),
  /** The platform ends an instance this long after `SIGTERM`. */
  shutdownMilliseconds: millisecondsSchema(100, 600_000).default(30_000),
});

export const controllerSettingsSchema = z.strictObject({
  ...commonShape,
  /** Where the other controllers connect. */
  peerListen: listenSchema,
  /** The other controllers. */
  controllers: z.array(storeAddressSchema).max(1000).default([]),
  /** All entries, which tell of demand and are told of drains. */
  entries: z.array(storeAddressSchema).max(1000).default([]),
  weightStore: z.strictObject({ url: z.url({ protocol: /^https?$/ }) }).optional(),
  platform: platformSchema,
  leaseMilliseconds: millisecondsSchema(500, 600_000).default(5000),
});

export type OperatorKey = z.infer<typeof operatorKeysSchema>[number];
export type ListenAddress = z.infer<typeof listenSchema>;
export type StoreAddress = z.infer<typeof storeAddressSchema>;
export type StoreSettings = z.infer<typeof storeSettingsSchema>;
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type ControllerSettings = z.infer<typeof controllerSettingsSchema>;
export type Workspace = z.infer<typeof workspaceSchema>;
