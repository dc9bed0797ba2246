/**
 * The pools table: the instances that carry the services.
 */
import * as z from 'zod';
import { nameSchema } from './routes.js';

const MAX_POOLS = 2000;

export const poolKinds = ['modelEngine', 'plainService'] as const;
export type PoolKind = (typeof poolKinds)[number];

export const instanceClassSchema = z.strictObject({
  name: nameSchema,
  /** Price of one instance for an hour, in euros. */
  eurosPerHour: z.number().min(0).max(10_000),
  reclaimable: z.boolean(),
  /** Requests that one backend server of this class runs at a time at full speed. */
  concurrency: z.number().int().min(1).max(100_000),
});

/** Bounds on the instances of one data centre, and what they cost. */
export const sizingSchema = z.strictObject({
  least: z.number().int().min(0).max(100_000),
  most: z.number().int().min(0).max(100_000),
  /** From an order until a new instance serves. */
  startMilliseconds: z.number().min(0).max(86_400_000),
  /** Price of one on-demand instance by data centre, in the platform's unit for each second. */
  prices: z.record(nameSchema, z.number().min(0)),
  /** Price of a reclaimable instance as a share of it; without it there are none. */
  reclaimableShare: z.number().min(0).max(1).optional(),
});

/** What an operator knows of the streams that model engines give, and of moving them. */
export const streamParametersSchema = z.strictObject({
  tokensPerEvent: z.number().min(1).default(1),
  /** Tokens of KV cache that an engine's link carries in a millisecond; 0 if caches don't move. */
  movedTokensPerMillisecond: z.number().min(0),
});

export const poolSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(poolKinds),
  dataCentres: z.array(nameSchema).min(1).max(64),
  instanceClasses: z.array(instanceClassSchema).min(1).max(32),
  /** Fewest and most backend servers over all data centres. */
  least: z.number().int().min(0).max(100_000),
  most: z.number().int().min(0).max(100_000),
  /** What model engines have to have loaded. */
  model: z.string().min(1).max(200).optional(),
  adapter: z.string().min(1).max(200).optional(),
  version: z.string().min(1).max(200).optional(),
  /** True if the backend servers refuse orders with an old fencing number. */
  checksFencing: z.boolean().default(false),
  /** Path of the health check, where backend servers have one. */
  healthPath: z.string().startsWith('/').max(512).optional(),
  /** Connections that one backend server takes from all entries together. */
  connections: z.number().int().min(1).max(1_000_000).optional(),
  /** What is known of the streams of its model engines. */
  streams: streamParametersSchema.optional(),
  /** Sizes and prices by data centre, where the platform is told a number of instances for each. */
  sizing: sizingSchema.optional(),
});

export const poolRowsSchema = z.array(poolSchema).max(MAX_POOLS);

export type InstanceClass = z.infer<typeof instanceClassSchema>;
export type PoolSizing = z.infer<typeof sizingSchema>;
export type Pool = z.infer<typeof poolSchema>;
