publish m0
lead m2
deliver Prepare m2->m1
deliver FetchReply m0->m1
deliver Promise m1->m2
lead m0
deliver Prepare m0->m1
deliver Promise m1->m0
deliver Fetch m1->m0
half stored FetchReply m0->m1
lead m2
deliver Prepare m2->m1
deliver Promise m1->m2
