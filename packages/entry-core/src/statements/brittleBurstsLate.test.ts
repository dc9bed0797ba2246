/** Bursts at brittle servers of a large site whose entries get digests seldom. */
import { testBrittleBursts } from './testing/brittleBursts.js';

const bursts = { entries: 58, enginesPerDataCentre: 4, seeds: [1, 3] };

testBrittleBursts(bursts, ['late']);
