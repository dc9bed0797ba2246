/**
 * Settings of a cluster of fakes: its addresses, the servers that run at the start, and the servers
 * to launch on bought instances.
 */
import { nameSchema, poolKinds } from '@hornbeampond/schema';
import * as z from 'zod';

const portSchema = z.number().int().min(0).max(65_535).default(0);
const millisecondsSchema = z.number().int().min(0).max(3_600_000);

/** Behaviour of a fake engine; omitted keys get the defaults of `FakeEngine`. */
const engineBehaviourShape = {
  model: z.string().min(1).max(200).optional(),
  concurrency: z.number().int().min(1).max(100_000).optional(),
  tokenDelayMilliseconds: millisecondsSchema.optional(),
  prefillDelayMilliseconds: millisecondsSchema.optional(),
  answerTokens: z.number().int().min(1).max(1_000_000).optional(),
  checksFencing: z.boolean().optional(),
};

const serverShape = {
  instance: nameSchema,
  pool: nameSchema,
  dataCentre: nameSchema,
  instanceClass: nameSchema,
  port: portSchema,
};

export const fakeEngineSchema = z.strictObject({ ...serverShape, ...engineBehaviourShape });

export const fakeServiceSchema = z.strictObject(serverShape);

/** The server to launch on an instance that is bought for a pool. */
export const fakeLaunchSchema = z.strictObject({
  pool: nameSchema,
  kind: z.enum(poolKinds),
  ...engineBehaviourShape,
});

export const fakeClusterSchema = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]).default('127.0.0.1'),
  control: z.strictObject({ port: portSchema }).prefault({}),
  platform: z
    .strictObject({
      port: portSchema,
      listLagMilliseconds: millisecondsSchema.default(0),
      startDelayMilliseconds: millisecondsSchema.default(0),
    })
    .prefault({}),
  weightStore: z
    .strictObject({ port: portSchema, loadsPerMinute: z.number().min(0).max(100_000).default(60) })
    .prefault({}),
  engines: z.array(fakeEngineSchema).max(1000).default([]),
  services: z.array(fakeServiceSchema).max(1000).default([]),
  launches: z.array(fakeLaunchSchema).max(1000).default([]),
});

/** Settings before validation, in which keys with a default may be omitted. */
export type FakeClusterInput = z.input<typeof fakeClusterSchema>;
export type FakeClusterSettings = z.infer<typeof fakeClusterSchema>;
export type FakeEngineSettings = z.infer<typeof fakeEngineSchema>;
export type FakeServiceSettings = z.infer<typeof fakeServiceSchema>;
export type FakeLaunch = z.infer<typeof fakeLaunchSchema>;
