/**
 * The pools table: the instances that carry the services.
 */
import { z } from 'zod';
import { nameSchema } from './routes.js';

const MOST_POOLS = 2000;

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
});

export const poolRowsSchema = z.array(poolSchema).max(MOST_POOLS);

export type InstanceClass = z.infer<typeof instanceClassSchema>;
export type Pool = z.infer<typeof poolSchema>;
