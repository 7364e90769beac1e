#pragma once

#include "base/backoff.h"
#include "job/job_random.h"
