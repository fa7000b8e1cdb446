publish m0
publish m0
lead m2
deliver Prepare m2->m1
deliver FetchReply m0->m1
deliver Promise m1->m2
lead m1
deliver Prepare m1->m0
deliver Promise m0->m1
deliver Fetch m1->m0
half stored FetchReply m0->m1
lead m1
deliver Prepare m1->m0
deliver Promise m0->m1
deliver Fetch m1->m0
half stored FetchReply m0->m1
lead m0
deliver Prepare m0->m2
deliver Promise m2->m0
deliver Prepare m0->m1
deliver Fetch m1->m0
deliver Fetch m0->m2
deliver FetchReply m2->m0
deliver Fetch m0->m2
lead m2
deliver Prepare m2->m1
deliver Promise m1->m2
