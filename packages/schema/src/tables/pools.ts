/**
 * The pools table. A pool is a set of interchangeable backend servers, with the classes and numbers
 * of the instances that run them.
 */
import * as z from 'zod';
import { nameSchema } from './routes.js';

const MAX_POOLS = 2000;

/** Requests that any backend server runs at a time; it also bounds what the list of instances states. */
export const MAX_CONCURRENCY = 100_000;

export const poolKinds = ['modelEngine', 'plainService'] as const;
export type PoolKind = (typeof poolKinds)[number];

export const instanceClassSchema = z.strictObject({
  name: nameSchema,
  /** Price of one instance per hour, in euros. */
  eurosPerHour: z.number().min(0).max(10_000),
  reclaimable: z.boolean(),
  /** Requests that one backend server of this class can run at a time without slowing down. */
  concurrency: z.number().int().min(1).max(MAX_CONCURRENCY),
  /** Tokens of prompts and answers that a model engine of this class holds in its memory. */
  memoryTokens: z.number().int().min(1).max(1_000_000_000).optional(),
});

/** Minimum and maximum number of instances in one data centre, and their prices. */
export const sizingSchema = z.strictObject({
  least: z.number().int().min(0).max(100_000),
  most: z.number().int().min(0).max(100_000),
  /** Time from the order of an instance until it serves. */
  startMilliseconds: z.number().min(0).max(86_400_000),
  /** Price of one on-demand instance by data centre, in the platform's unit per second. */
  prices: z.record(nameSchema, z.number().min(0)),
  /**
   * Price of a reclaimable instance as a fraction of that of an on-demand one. Without it the pool
   * has no reclaimable instances.
   */
  reclaimableShare: z.number().min(0).max(1).optional(),
});

/** Properties of the streams of model engines and of moving their KV caches. */
export const streamParametersSchema = z.strictObject({
  tokensPerEvent: z.number().min(1).default(1),
  /** Speed at which an engine transfers KV cache; 0 if caches cannot be moved. */
  movedTokensPerMillisecond: z.number().min(0),
});

export const poolSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(poolKinds),
  dataCentres: z.array(nameSchema).min(1).max(64),
  instanceClasses: z.array(instanceClassSchema).min(1).max(32),
  /** Minimum and maximum number of backend servers over all data centres. */
  least: z.number().int().min(0).max(100_000),
  most: z.number().int().min(0).max(100_000),
  /** Model that the engines must have loaded. */
  model: z.string().min(1).max(200).optional(),
  adapter: z.string().min(1).max(200).optional(),
  version: z.string().min(1).max(200).optional(),
  /** True if the backend servers refuse orders with an outdated fencing token. */
  checksFencing: z.boolean().default(false),
  /** Path of the backend servers' health check, if they have one. */
  healthPath: z.string().startsWith('/').max(512).optional(),
  /** Maximum number of connections of all entries together to one backend server. */
  connections: z.number().int().min(1).max(1_000_000).optional(),
  streams: streamParametersSchema.optional(),
  /** Set if the platform takes orders for a number of instances per data centre. */
  sizing: sizingSchema.optional(),
});

export const poolRowsSchema = z.array(poolSchema).max(MAX_POOLS);

export type InstanceClass = z.infer<typeof instanceClassSchema>;
export type PoolSizing = z.infer<typeof sizingSchema>;
export type Pool = z.infer<typeof poolSchema>;
